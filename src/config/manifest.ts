// Checks of the manifest. Its shape is checked first, then what its parts say
// of each other. Entries with an error of their own don't hide errors of
// others: every error is given at once, each with its place.

import * as z from 'zod'
import type { DatabaseDeclaration, Manifest, RouteDeclaration } from '../model/index.js'
import { choice, ipText, name, portNumber, positiveNumber, wholeNumber } from './fields.js'
import { containsKey } from './keys.js'
import { placeText, placedErrors, type PlacedError } from './placed-error.js'

/** What became of a manifest. */
export type ManifestResult =
  | { readonly kind: 'valid', readonly manifest: Manifest }
  | { readonly kind: 'invalid', readonly errors: readonly string[] }

const maxRatePerS = 10_000_000
const maxWeight = 1_000
const maxSlots = 10_000
const maxSeats = 100_000
const maxPriority = 1_000
const dayMs = 86_400_000
const digestPattern = /^[0-9a-f]{40}$/
const digestAllowed = '40 hexadecimal digits in lower case (`limpetmoor keys digest`)'

const keySchema = z.strictObject({
  id: name(),
  digest: z.string({ error: digestAllowed }).regex(digestPattern, digestAllowed)
})

const accountSchema = z.strictObject({
  name: name(),
  keys: listOf(keySchema),
  ratePerS: positiveNumber(maxRatePerS),
  burst: positiveNumber(maxRatePerS),
  weight: positiveNumber(maxWeight)
})

const serverSchema = z.strictObject({
  name: name(),
  ip: ipText(),
  port: portNumber(),
  failureDomain: name(),
  slots: wholeNumber(1, maxSlots),
  maxConnections: wholeNumber(1, maxSlots),
  state: choice(['active', 'leaving'])
})

const databaseSchema = z.strictObject({
  name: name(),
  servers: listOf(serverSchema),
  state: choice(['active', 'leaving'])
})

const accessSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('open') }),
  z.strictObject({ kind: z.literal('anyAccount') }),
  z.strictObject({ kind: z.literal('accounts'), accounts: listOf(name()) })
], { error: 'a table whose kind is "open", "anyAccount" or "accounts"' })

const freshnessSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('newest') }),
  z.strictObject({ kind: z.literal('age'), maxAgeMs: wholeNumber(1, dayMs) }),
  z.strictObject({ kind: z.literal('ownWrites'), maxAgeMs: wholeNumber(1, dayMs) })
], { error: 'a table whose kind is "newest", "age" or "ownWrites"' })

const policySchema = z.strictObject({
  freshness: freshnessSchema,
  timeoutMs: wholeNumber(1, dayMs),
  goalMs: wholeNumber(1, dayMs),
  priority: wholeNumber(0, maxPriority)
}, { error: 'a table with freshness, timeoutMs, goalMs and priority' })

const routeSchema = z.strictObject({
  name: name(),
  database: name(),
  access: accessSchema,
  policy: policySchema.optional()
})

/** Shape of the manifest file, as `docs/CONFIGURATION.md` lists it. */
export const manifestSchema = z.strictObject({
  accounts: listOf(accountSchema),
  databases: listOf(databaseSchema),
  routes: listOf(routeSchema),
  anonymous: z.strictObject({
    ratePerS: positiveNumber(maxRatePerS),
    burst: positiveNumber(maxRatePerS)
  }, { error: 'a table' }),
  seats: wholeNumber(1, maxSeats),
  idleTransactionMs: wholeNumber(1, dayMs).optional()
}, { error: 'a table' })

/** Fields whose value an error message must not repeat. */
const secretFields = ['digest', 'key', 'password']

/**
 * Checks a manifest.
 * @param value - the decoded JSON of the manifest file
 * @returns the manifest, or every error with its place, what was found and what is allowed
 */
export function checkManifest (value: unknown): ManifestResult {
  const checked = manifestSchema.safeParse(value)
  const shapeErrors = checked.success ? [] : placedErrors(checked.error, value, secretFields)
  const errors = [...shapeErrors, ...crossErrors(partsOf(value)), ...keysWithin(value, [])]
  if (checked.success && errors.length === 0) return { kind: 'valid', manifest: checked.data }
  return { kind: 'invalid', errors: errors.map(errorLine) }
}

/** Entries that are valid by themselves, each with its place, and all names that are declared. */
type Parts = {
  readonly accounts: readonly Placed<z.infer<typeof accountSchema>>[]
  readonly databases: readonly Placed<DatabaseDeclaration>[]
  readonly routes: readonly Placed<RouteDeclaration>[]
  readonly accountNames: readonly Placed<string>[]
  readonly databaseNames: readonly Placed<string>[]
  readonly routeNames: readonly Placed<string>[]
}

type Placed<T> = {
  readonly place: string
  readonly value: T
}

function partsOf (value: unknown): Parts {
  return {
    accounts: validEntries(value, 'accounts', accountSchema),
    databases: validEntries(value, 'databases', databaseSchema),
    routes: validEntries(value, 'routes', routeSchema),
    accountNames: names(value, 'accounts'),
    databaseNames: names(value, 'databases'),
    routeNames: names(value, 'routes')
  }
}

function validEntries<T> (value: unknown, field: string, schema: z.ZodType<T>): readonly Placed<T>[] {
  return entries(value, field).flatMap(entry => {
    const checked = schema.safeParse(entry.value)
    return checked.success ? [{ place: entry.place, value: checked.data }] : []
  })
}

function names (value: unknown, field: string): readonly Placed<string>[] {
  return entries(value, field).flatMap(entry => {
    const checked = z.object({ name: z.string() }).safeParse(entry.value)
    return checked.success ? [{ place: `${entry.place}.name`, value: checked.data.name }] : []
  })
}

function entries (value: unknown, field: string): readonly Placed<unknown>[] {
  const checked = z.object({ [field]: z.array(z.unknown()) }).safeParse(value)
  const list = checked.success ? checked.data[field] ?? [] : []
  return list.map((entry, at) => ({ place: `${field}[${at}]`, value: entry }))
}

function crossErrors (parts: Parts): readonly PlacedError[] {
  return [
    ...duplicates(parts.accountNames, 'account name'),
    ...duplicates(parts.databaseNames, 'database name'),
    ...duplicates(parts.routeNames, 'route name'),
    ...keyErrors(parts),
    ...serverErrors(parts),
    ...routeErrors(parts)
  ]
}

function keyErrors (parts: Parts): readonly PlacedError[] {
  const digests = parts.accounts.flatMap(account => account.value.keys.map((key, at) => {
    return { place: `${account.place}.keys[${at}].digest`, value: key.digest }
  }))
  const ids = parts.accounts.flatMap(account => duplicates(
    account.value.keys.map((key, at) => ({ place: `${account.place}.keys[${at}].id`, value: key.id })),
    'key id'
  ))
  // Two accounts with one key could not be told apart in a report; the digest itself is not shown.
  const doubled = duplicates(digests, 'digest').map(error => ({ ...error, found: 'a digest that is declared above' }))
  return [...ids, ...doubled]
}

function serverErrors (parts: Parts): readonly PlacedError[] {
  const servers = parts.databases.flatMap(database => database.value.servers.map((server, at) => {
    return { place: `${database.place}.servers[${at}]`, server }
  }))
  const serverNames = servers.map(({ place, server }) => ({ place: `${place}.name`, value: server.name }))
  const addresses = servers.map(({ place, server }) => ({ place: `${place}.port`, value: `${server.ip}:${server.port}` }))
  return [
    ...duplicates(serverNames, 'server name'),
    ...duplicates(addresses, 'address'),
    ...parts.databases.flatMap(withoutServer)
  ]
}

function withoutServer (database: Placed<DatabaseDeclaration>): readonly PlacedError[] {
  const active = database.value.servers.filter(server => server.state === 'active')
  if (database.value.state === 'leaving' || active.length > 0) return []
  return [{ place: `${database.place}.servers`, found: 'no active server', allowed: 'at least 1 active server in an active database' }]
}

function routeErrors (parts: Parts): readonly PlacedError[] {
  const databases = new Set(parts.databaseNames.map(database => database.value))
  const accounts = new Set(parts.accountNames.map(account => account.value))
  return parts.routes.flatMap(({ place, value: route }) => {
    const access = route.access
    const wanted = access.kind === 'accounts' ? access.accounts : []
    const listed = wanted.map((account, at) => ({ place: `${place}.access.accounts[${at}]`, value: account }))
    return [
      ...databases.has(route.database) ? [] : [unknownName(`${place}.database`, route.database, 'database')],
      ...listed.filter(account => !accounts.has(account.value)).map(account => unknownName(account.place, account.value, 'account')),
      ...duplicates(listed, 'account')
    ]
  })
}

// A key in any field would be stored and shown; only digests may stand in a manifest.
function keysWithin (value: unknown, path: readonly PropertyKey[]): readonly PlacedError[] {
  if (typeof value === 'string') {
    return containsKey(value) ? [{ place: placeText(path), found: 'text that holds a key', allowed: 'no key in any field' }] : []
  }
  if (typeof value !== 'object' || value === null) return []
  return Object.entries(value).flatMap(([field, inner]) => {
    return keysWithin(inner, [...path, Array.isArray(value) ? Number(field) : field])
  })
}

function unknownName (place: string, found: string, what: string): PlacedError {
  return { place, found: JSON.stringify(found), allowed: `the name of a declared ${what}` }
}

function duplicates (values: readonly Placed<string>[], what: string): readonly PlacedError[] {
  const seen = new Set<string>()
  return values.flatMap(({ place, value }) => {
    if (!seen.has(value)) {
      seen.add(value)
      return []
    }
    return [{ place, found: JSON.stringify(value), allowed: `a value that no other ${what} has` }]
  })
}

function listOf<T extends z.ZodType> (schema: T): z.ZodArray<T> {
  return z.array(schema, { error: 'a list' })
}

function errorLine (error: PlacedError): string {
  return `${error.place}: found ${error.found}, allowed: ${error.allowed}`
}
