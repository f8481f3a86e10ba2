// Validation of the manifest: first its schema, then uniqueness and references
// between its entries. Invalid entries do not hide errors of others: all errors
// are returned at once, each with its path.

import * as z from 'zod'
import type { DatabaseDeclaration, Manifest, RouteDeclaration } from '../model/index.js'
import { amount, choice, ipText, name, portNumber, positiveNumber, wholeNumber } from './fields.js'
import { containsKey } from './keys.js'
import { formatPath, fieldErrors, type FieldError } from './field-error.js'

/** Result of validating a manifest. */
export type ManifestResult =
  | { readonly kind: 'valid', readonly manifest: Manifest }
  | { readonly kind: 'invalid', readonly errors: readonly string[] }

const maxRatePerS = 10_000_000
const maxWeight = 1_000
const maxSlots = 10_000
const maxColdValue = 1_000_000
/** Maximum of `seats`, the number of quota partitions. */
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
  coldS: amount(maxColdValue).optional(),
  coldPerS: amount(maxColdValue).optional(),
  state: choice(['active', 'leaving'])
})

const accessSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('open') }),
  z.strictObject({ kind: z.literal('anyAccount') }),
  z.strictObject({ kind: z.literal('accounts'), accounts: listOf(name()) })
], { error: 'a table whose kind is "open", "anyAccount" or "accounts"' })

/** Read consistency of a route; `freshness` is the operators' field name. */
const consistencySchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('newest') }),
  z.strictObject({ kind: z.literal('age'), maxAgeMs: wholeNumber(1, dayMs) }),
  z.strictObject({ kind: z.literal('ownWrites'), maxAgeMs: wholeNumber(1, dayMs) })
], { error: 'a table whose kind is "newest", "age" or "ownWrites"' })

const policySchema = z.strictObject({
  freshness: consistencySchema,
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

/** Schema of the manifest file, documented in `docs/CONFIGURATION.md`. */
export const manifestSchema = z.strictObject({
  accounts: listOf(accountSchema),
  databases: listOf(databaseSchema),
  routes: listOf(routeSchema),
  anonymous: z.strictObject({
    ratePerS: positiveNumber(maxRatePerS),
    burst: positiveNumber(maxRatePerS)
  }, { error: 'a table' }),
  /** Operators' field name of the number of quota partitions. */
  seats: wholeNumber(1, maxSeats),
  idleTransactionMs: wholeNumber(1, dayMs).optional()
}, { error: 'a table' })

/** Fields whose value must not appear in error messages. */
const secretFields = ['digest', 'key', 'password']

/**
 * Validates a manifest.
 * @param value - the decoded JSON of the manifest file
 * @returns the manifest, or all errors, each with its path, the value found and
 *   the values allowed
 */
export function checkManifest (value: unknown): ManifestResult {
  const checked = manifestSchema.safeParse(value)
  const shapeErrors = checked.success ? [] : fieldErrors(checked.error, value, secretFields)
  const errors = [...shapeErrors, ...referenceErrors(manifestEntries(value)), ...embeddedKeyErrors(value, [])]
  if (checked.success && errors.length === 0) return { kind: 'valid', manifest: checked.data }
  return { kind: 'invalid', errors: errors.map(errorLine) }
}

/** Entries that match their schema, and all declared names, each with its path. */
type ManifestEntries = {
  readonly accounts: readonly WithPath<z.infer<typeof accountSchema>>[]
  readonly databases: readonly WithPath<DatabaseDeclaration>[]
  readonly routes: readonly WithPath<RouteDeclaration>[]
  readonly accountNames: readonly WithPath<string>[]
  readonly databaseNames: readonly WithPath<string>[]
  readonly routeNames: readonly WithPath<string>[]
}

type WithPath<T> = {
  readonly path: string
  readonly value: T
}

function manifestEntries (value: unknown): ManifestEntries {
  return {
    accounts: validEntries(value, 'accounts', accountSchema),
    databases: validEntries(value, 'databases', databaseSchema),
    routes: validEntries(value, 'routes', routeSchema),
    accountNames: entryNames(value, 'accounts'),
    databaseNames: entryNames(value, 'databases'),
    routeNames: entryNames(value, 'routes')
  }
}

function validEntries<T> (value: unknown, field: string, schema: z.ZodType<T>): readonly WithPath<T>[] {
  return entries(value, field).flatMap(entry => {
    const checked = schema.safeParse(entry.value)
    return checked.success ? [{ path: entry.path, value: checked.data }] : []
  })
}

function entryNames (value: unknown, field: string): readonly WithPath<string>[] {
  return entries(value, field).flatMap(entry => {
    const checked = z.object({ name: z.string() }).safeParse(entry.value)
    return checked.success ? [{ path: `${entry.path}.name`, value: checked.data.name }] : []
  })
}

function entries (value: unknown, field: string): readonly WithPath<unknown>[] {
  const checked = z.object({ [field]: z.array(z.unknown()) }).safeParse(value)
  const list = checked.success ? checked.data[field] ?? [] : []
  return list.map((entry, at) => ({ path: `${field}[${at}]`, value: entry }))
}

function referenceErrors (manifest: ManifestEntries): readonly FieldError[] {
  return [
    ...duplicateErrors(manifest.accountNames, 'account name'),
    ...duplicateErrors(manifest.databaseNames, 'database name'),
    ...duplicateErrors(manifest.routeNames, 'route name'),
    ...keyErrors(manifest),
    ...serverErrors(manifest),
    ...routeErrors(manifest)
  ]
}

function keyErrors (manifest: ManifestEntries): readonly FieldError[] {
  const digests = manifest.accounts.flatMap(account => account.value.keys.map((key, at) => {
    return { path: `${account.path}.keys[${at}].digest`, value: key.digest }
  }))
  const ids = manifest.accounts.flatMap(account => duplicateErrors(
    account.value.keys.map((key, at) => ({ path: `${account.path}.keys[${at}].id`, value: key.id })),
    'key id'
  ))
  // A key must identify one account, so that reports can attribute its
  // requests. The digest itself is secret and not included.
  const duplicateDigests = duplicateErrors(digests, 'digest').map(error => ({ ...error, found: 'a digest that is declared above' }))
  return [...ids, ...duplicateDigests]
}

function serverErrors (manifest: ManifestEntries): readonly FieldError[] {
  const servers = manifest.databases.flatMap(database => database.value.servers.map((server, at) => {
    return { path: `${database.path}.servers[${at}]`, server }
  }))
  const serverNames = servers.map(({ path, server }) => ({ path: `${path}.name`, value: server.name }))
  const addresses = servers.map(({ path, server }) => ({ path: `${path}.port`, value: `${server.ip}:${server.port}` }))
  return [
    ...duplicateErrors(serverNames, 'server name'),
    ...duplicateErrors(addresses, 'address'),
    ...manifest.databases.flatMap(missingServerErrors)
  ]
}

function missingServerErrors (database: WithPath<DatabaseDeclaration>): readonly FieldError[] {
  const active = database.value.servers.filter(server => server.state === 'active')
  if (database.value.state === 'leaving' || active.length > 0) return []
  return [{ path: `${database.path}.servers`, found: 'no active server', allowed: 'at least 1 active server in an active database' }]
}

function routeErrors (manifest: ManifestEntries): readonly FieldError[] {
  const databases = new Set(manifest.databaseNames.map(database => database.value))
  const accounts = new Set(manifest.accountNames.map(account => account.value))
  return manifest.routes.flatMap(({ path, value: route }) => {
    const access = route.access
    const accountNames = access.kind === 'accounts' ? access.accounts : []
    const listed = accountNames.map((account, at) => ({ path: `${path}.access.accounts[${at}]`, value: account }))
    return [
      ...databases.has(route.database) ? [] : [unknownNameError(`${path}.database`, route.database, 'database')],
      ...listed.filter(account => !accounts.has(account.value)).map(account => unknownNameError(account.path, account.value, 'account')),
      ...duplicateErrors(listed, 'account')
    ]
  })
}

// A key in any field would be stored and displayed; a manifest may contain only
// digests.
function embeddedKeyErrors (value: unknown, path: readonly PropertyKey[]): readonly FieldError[] {
  if (typeof value === 'string') {
    return containsKey(value) ? [{ path: formatPath(path), found: 'text that contains a key', allowed: 'no key in any field' }] : []
  }
  if (typeof value !== 'object' || value === null) return []
  return Object.entries(value).flatMap(([field, inner]) => {
    return embeddedKeyErrors(inner, [...path, Array.isArray(value) ? Number(field) : field])
  })
}

function unknownNameError (path: string, found: string, what: string): FieldError {
  return { path, found: JSON.stringify(found), allowed: `the name of a declared ${what}` }
}

function duplicateErrors (values: readonly WithPath<string>[], what: string): readonly FieldError[] {
  const seen = new Set<string>()
  return values.flatMap(({ path, value }) => {
    if (!seen.has(value)) {
      seen.add(value)
      return []
    }
    return [{ path, found: JSON.stringify(value), allowed: `a value that no other ${what} has` }]
  })
}

function listOf<T extends z.ZodType> (schema: T): z.ZodArray<T> {
  return z.array(schema, { error: 'a list' })
}

function errorLine (error: FieldError): string {
  return `${error.path}: found ${error.found}, allowed: ${error.allowed}`
}
