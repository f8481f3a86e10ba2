// Compact encoding of messages between proxies: field names are sent as short
// codes, and some durations as integers, which makes the messages smaller. The
// values of a few fields are sent unchanged. The JSON text is written directly,
// because a copy of the message with other names costs as much as the text itself.

/**
 * Field names that are sent as codes. The code of a name is its index, so all
 * proxies of a fleet must have the same list in the same order: nothing
 * negotiates it, and a proxy with another list misreads the fields. The names
 * are those on the wire, explained in src/model. `floor` is no field name; its
 * entry keeps the later codes in place.
 */
const shortenedNames = [
  'account', 'access', 'agoMs', 'aheadTokens', 'answer', 'answered', 'applied', 'argument', 'burst', 'capacity', 'database', 'detail', 'digest',
  'failureDomain', 'fencedTerm', 'floor', 'freshness', 'from', 'generation', 'grant', 'heardAgoMs', 'held',
  'holdsDuty', 'host', 'id', 'incarnation', 'index', 'isPaused', 'isUrgent', 'kind', 'lagMs', 'mark', 'maxAgeMs',
  'mode', 'newest', 'observation', 'outcome', 'position', 'prepared', 'primary', 'proposer', 'purpose', 'ratePerS',
  'reason', 'received', 'remainingMs', 'request', 'requestId', 'returnedTokens', 'role', 'rows', 'sequence',
  'server', 'servedBy', 'servers', 'signature', 'state', 'statement', 'status', 'storeConfirmedAgoMs', 'term',
  'text', 'tokens', 'transaction', 'validMs', 'view', 'want', 'wantTokens', 'weight',
  // Added later: an earlier version drops these codes as unknown fields.
  'priority', 'goalLeftMs', 'takesToken', 'callId', 'tookToken', 'serverLoad', 'expectedWaitMs', 'serviceMs', 'waiting', 'load', 'features', 'callerSession'
] as const

/** Prefix of codes. A field name that starts with it is escaped by another prefix. */
const codePrefix = '~'
const codeRadix = 36

/** Name of a field that is sent as a code. */
type ShortenedName = typeof shortenedNames[number]

const codes: ReadonlyMap<string, string> = new Map(shortenedNames.map((name, at) => [name, codePrefix + at.toString(codeRadix)]))
const names: ReadonlyMap<string, string> = new Map([...codes].map(([name, code]) => [code, name]))

/** Codes by the field names that they stand for. */
export const fieldCodes = Object.fromEntries(codes) as Readonly<Record<ShortenedName, string>>

/**
 * Fields that are sent unchanged, neither shortened nor rounded. The field names
 * within `values` are not fixed by the protocol; the others have types in
 * src/model.
 */
const opaqueFields: ReadonlySet<string> = new Set(['values', 'accepted', 'report', 'hosts'])
/** Fields without a coded name or a duration in their values: their text is that of `JSON.stringify`. */
const plainFields: ReadonlySet<string> = new Set([...opaqueFields, 'rows', 'columns'])
/** Fields that hold an age; rounded up, so that data never appears newer than it is. */
const ageFields: ReadonlySet<string> = new Set(['agoMs', 'heardAgoMs', 'storeConfirmedAgoMs'])
/**
 * Fields that hold a remaining time; rounded down, so that a deadline is never
 * extended.
 */
const remainingTimeFields: ReadonlySet<string> = new Set(['remainingMs'])

/** How the value of a field is written. */
type FieldEncoding = {
  /** The field's code as JSON text, with the colon. */
  readonly prefix: string
  readonly kind: 'plain' | 'age' | 'remainingTime' | 'nested'
}

const encodings: ReadonlyMap<string, FieldEncoding> = new Map([...shortenedNames, ...plainFields].map(name => [name, encodingOf(name)]))

/**
 * Writes a value as JSON text with short field names.
 * @param value - parameters or a result
 * @returns the text; `null` for undefined
 */
export function shortText (value: unknown): string {
  if (typeof value === 'string') return JSON.stringify(value)
  if (typeof value !== 'object') return numberOrBooleanText(value)
  if (value === null) return 'null'
  if (Array.isArray(value)) return `[${value.map(shortText).join(',')}]`
  let text = ''
  for (const [name, inner] of Object.entries(value)) {
    if (inner === undefined) continue
    const { prefix, kind } = encodings.get(name) ?? encodingOf(name)
    text += (text === '' ? prefix : ',' + prefix) + fieldText(kind, inner)
  }
  return `{${text}}`
}

function fieldText (kind: FieldEncoding['kind'], value: unknown): string {
  switch (kind) {
    case 'plain': return JSON.stringify(value)
    case 'age': return shortText(typeof value === 'number' ? Math.ceil(value) : value)
    case 'remainingTime': return shortText(typeof value === 'number' ? Math.floor(value) : value)
    case 'nested': return shortText(value)
  }
}

// JSON has no infinity; it is written as null, as JSON.stringify does.
function numberOrBooleanText (value: unknown): string {
  if (typeof value === 'number') return Number.isFinite(value) ? String(value) : 'null'
  return typeof value === 'boolean' ? String(value) : 'null'
}

function encodingOf (name: string): FieldEncoding {
  const code = codes.get(name) ?? (name.startsWith(codePrefix) ? codePrefix + name : name)
  return { prefix: JSON.stringify(code) + ':', kind: kindOf(name) }
}

function kindOf (name: string): FieldEncoding['kind'] {
  if (plainFields.has(name)) return 'plain'
  if (ageFields.has(name)) return 'age'
  return remainingTimeFields.has(name) ? 'remainingTime' : 'nested'
}

/**
 * Restores the field names of an encoded value.
 * @param value - the received value
 * @returns parameters or a result
 */
export function restore (value: unknown): unknown {
  if (Array.isArray(value)) return value.map(restore)
  if (typeof value !== 'object' || value === null) return value
  return Object.fromEntries(Object.entries(value).map(([code, inner]) => {
    const name = nameOf(code)
    return [name, opaqueFields.has(name) ? inner : restore(inner)]
  }))
}

function nameOf (code: string): string {
  return names.get(code) ?? (code.startsWith(codePrefix) ? code.slice(codePrefix.length) : code)
}
