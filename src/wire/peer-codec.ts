// Compact encoding of messages between proxies: field names are sent as short
// codes, and some durations as integers, which makes the messages smaller. The
// values of a few fields are sent unchanged.

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
  'priority', 'goalLeftMs', 'takesToken', 'callId', 'tookToken', 'serverLoad', 'expectedWaitMs', 'serviceMs', 'waiting', 'load', 'features'
] as const

/** Prefix of codes. A field name that starts with it is escaped by another prefix. */
const codePrefix = '~'
const codeRadix = 36

const codes: ReadonlyMap<string, string> = new Map(shortenedNames.map((name, at) => [name, codePrefix + at.toString(codeRadix)]))
const names: ReadonlyMap<string, string> = new Map([...codes].map(([name, code]) => [code, name]))

/**
 * Fields that are sent unchanged, neither shortened nor rounded. The field names
 * within `values` are not fixed by the protocol; the others have types in
 * src/model.
 */
const opaqueFields: ReadonlySet<string> = new Set(['values', 'accepted', 'report', 'hosts'])
/** Fields that hold an age; rounded up, so that data never appears newer than it is. */
const ageFields: ReadonlySet<string> = new Set(['agoMs', 'heardAgoMs', 'storeConfirmedAgoMs'])
/**
 * Fields that hold a remaining time; rounded down, so that a deadline is never
 * extended.
 */
const remainingTimeFields: ReadonlySet<string> = new Set(['remainingMs'])

/**
 * Encodes a value with short field names.
 * @param value - parameters or a result
 * @returns the value to send
 */
export function shorten (value: unknown): unknown {
  if (Array.isArray(value)) return value.map(shorten)
  if (typeof value !== 'object' || value === null) return value
  return Object.fromEntries(Object.entries(value)
    .filter(([, inner]) => inner !== undefined)
    .map(([name, inner]) => [codeOf(name), shortenField(name, inner)]))
}

function shortenField (name: string, value: unknown): unknown {
  if (opaqueFields.has(name)) return value
  return typeof value === 'number' ? rounded(name, value) : shorten(value)
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

function codeOf (name: string): string {
  return codes.get(name) ?? (name.startsWith(codePrefix) ? codePrefix + name : name)
}

function nameOf (code: string): string {
  return names.get(code) ?? (code.startsWith(codePrefix) ? code.slice(codePrefix.length) : code)
}

function rounded (name: string, value: number): number {
  if (ageFields.has(name)) return Math.ceil(value)
  return remainingTimeFields.has(name) ? Math.floor(value) : value
}
