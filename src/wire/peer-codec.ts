// Shortens messages between proxies: the names of fields are sent as short
// codes, and times are sent without fractions. Fields whose own fields are
// anybody's choice are sent as they are.

/** Names that are sent as codes, the first as code 0. Both ends must have the same list. */
const shortenedNames = [
  'account', 'access', 'agoMs', 'aheadTokens', 'answer', 'answered', 'applied', 'argument', 'burst', 'capacity', 'database', 'detail', 'digest',
  'failureDomain', 'fencedTerm', 'floor', 'freshness', 'from', 'generation', 'grant', 'heardAgoMs', 'held',
  'holdsDuty', 'host', 'id', 'incarnation', 'index', 'isPaused', 'isUrgent', 'kind', 'lagMs', 'mark', 'maxAgeMs',
  'mode', 'newest', 'observation', 'outcome', 'position', 'prepared', 'primary', 'proposer', 'purpose', 'ratePerS',
  'reason', 'received', 'remainingMs', 'request', 'requestId', 'returnedTokens', 'role', 'rows', 'sequence',
  'server', 'servedBy', 'servers', 'signature', 'state', 'statement', 'status', 'storeConfirmedAgoMs', 'term',
  'text', 'tokens', 'transaction', 'validMs', 'view', 'want', 'wantTokens', 'weight'
] as const

/** What codes begin with; a name that begins so is sent with one more. */
const codePrefix = '~'
const codeRadix = 36

const codes: ReadonlyMap<string, string> = new Map(shortenedNames.map((name, at) => [name, codePrefix + at.toString(codeRadix)]))
const names: ReadonlyMap<string, string> = new Map([...codes].map(([name, code]) => [code, name]))

/** Fields whose own fields are anybody's choice. */
const opaqueFields: ReadonlySet<string> = new Set(['values', 'accepted', 'report', 'hosts'])
/** Fields that tell an age: a fraction may only make it older. */
const ageFields: ReadonlySet<string> = new Set(['agoMs', 'heardAgoMs', 'storeConfirmedAgoMs'])
/** Fields that tell a time that is left: a fraction may only make it shorter. */
const remainingTimeFields: ReadonlySet<string> = new Set(['remainingMs'])

/**
 * Shortens a value.
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
 * Restores a shortened value.
 * @param value - what was received
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
