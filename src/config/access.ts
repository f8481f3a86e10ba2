// Authentication and authorization of callers under a manifest. The key is
// checked once, at login; validity of the key and access to the route are
// checked at each statement, so that a withdrawn key or a closed route also
// takes effect on open connections.

import { createHash } from 'node:crypto'
import type { AccountDeclaration, AccountName, Caller, DatabaseDeclaration, DatabaseName, KeyDeclaration, Manifest, NotRunReason, RouteDeclaration, RouteName } from '../model/index.js'
import { checkNativePassword, digestOf } from './keys.js'

/** Credential with which a caller proves that it has a key. */
export type Credential =
  | {
    readonly kind: 'nativePassword'
    readonly user: string
    /** The 20 random bytes of the handshake. */
    readonly nonce: Uint8Array
    /** The native password proof; empty where the caller gave no key. */
    readonly proof: Uint8Array
  }
  /** The key in plain text, which also identifies the account. */
  | { readonly kind: 'key', readonly key: string | undefined }

/** Login data of a caller. */
export type Login = {
  readonly route: RouteName
  readonly credential: Credential
}

/** Result of authenticating a caller. */
export type AuthenticationResult =
  | { readonly kind: 'granted', readonly caller: Caller }
  | { readonly kind: 'refused', readonly reason: NotRunReason & ('badKey' | 'routeUnknown' | 'routeForbidden') }

/**
 * Result of authorizing a statement on a route. `leaving`: the database is being
 * decommissioned, and only open transactions continue.
 */
export type RouteAuthorization =
  | { readonly kind: 'allowed', readonly route: RouteDeclaration }
  | { readonly kind: 'refused', readonly reason: NotRunReason & ('keyWithdrawn' | 'routeUnknown' | 'routeForbidden' | 'leaving') }

/**
 * Authenticates a caller.
 * @param manifest - the manifest in force
 * @param login - the login data
 * @returns the caller, or why the login is refused; an unknown account is
 *   reported as a bad key
 */
export function authenticate (manifest: Manifest, login: Login): AuthenticationResult {
  const index = manifestIndex(manifest)
  switch (login.credential.kind) {
    case 'nativePassword': return authenticateByPassword(index, login.route, login.credential)
    case 'key': return authenticateByKey(index, login.route, login.credential.key)
  }
}

// On an open route, an empty proof logs in anonymously. A caller that gives a
// password logs in as its account on any route, so the password must be valid.
function authenticateByPassword (index: ManifestIndex, routeName: RouteName, credential: Extract<Credential, { readonly kind: 'nativePassword' }>): AuthenticationResult {
  const route = index.routes.get(routeName)
  if (credential.proof.length === 0 && route?.access.kind === 'open') return { kind: 'granted', caller: { kind: 'anonymous' } }
  const key = matchingKey(index.accounts.get(credential.user), credential)
  if (key === undefined) return { kind: 'refused', reason: 'badKey' }
  if (route === undefined) return { kind: 'refused', reason: 'routeUnknown' }
  return grantOnRoute(route, { kind: 'account', account: credential.user, keyId: keyIdentity(key) })
}

// An open route requires no key. A given key is not checked, and the caller is
// anonymous.
function authenticateByKey (index: ManifestIndex, routeName: RouteName, key: string | undefined): AuthenticationResult {
  const route = index.routes.get(routeName)
  if (route === undefined) return { kind: 'refused', reason: 'routeUnknown' }
  if (route.access.kind === 'open') return { kind: 'granted', caller: { kind: 'anonymous' } }
  const caller = key === undefined ? undefined : index.callersByDigest.get(digestOf(key))
  if (caller === undefined) return { kind: 'refused', reason: 'badKey' }
  return grantOnRoute(route, caller)
}

function grantOnRoute (route: RouteDeclaration, caller: Caller): AuthenticationResult {
  return grants(route, caller) ? { kind: 'granted', caller } : { kind: 'refused', reason: 'routeForbidden' }
}

/**
 * Decides whether a caller may run a statement on a route.
 * @param manifest - the manifest in force
 * @param caller - the caller, as authenticated at login
 * @param routeName - the route
 * @param openTransactionRoute - the route declaration of an open transaction,
 *   which the transaction keeps until it ends
 * @returns the route, or why the statement is refused
 */
export function authorizeRoute (manifest: Manifest, caller: Caller, routeName: RouteName, openTransactionRoute?: RouteDeclaration): RouteAuthorization {
  const index = manifestIndex(manifest)
  if (!isKeyValid(index, caller)) return { kind: 'refused', reason: 'keyWithdrawn' }
  const route = openTransactionRoute ?? index.routes.get(routeName)
  if (route === undefined) return { kind: 'refused', reason: 'routeUnknown' }
  if (!grants(route, caller)) return { kind: 'refused', reason: 'routeForbidden' }
  const isLeaving = index.databases.get(route.database)?.state !== 'active'
  if (isLeaving && openTransactionRoute === undefined) return { kind: 'refused', reason: 'leaving' }
  return { kind: 'allowed', route }
}

/**
 * Finds a client account.
 * @param manifest - the manifest in force
 * @param account - its name
 * @returns the account, or undefined where it does not exist
 */
export function accountOf (manifest: Manifest, account: AccountName): AccountDeclaration | undefined {
  return manifestIndex(manifest).accounts.get(account)
}

/**
 * Finds a database.
 * @param manifest - the manifest in force
 * @param database - its name
 * @returns the database, or undefined where it does not exist
 */
export function databaseOf (manifest: Manifest, database: DatabaseName): DatabaseDeclaration | undefined {
  return manifestIndex(manifest).databases.get(database)
}

type ManifestIndex = {
  readonly accounts: ReadonlyMap<string, AccountDeclaration>
  readonly keyIds: ReadonlyMap<string, ReadonlySet<string>>
  /** Callers by the digest of their key. */
  readonly callersByDigest: ReadonlyMap<string, Caller>
  readonly routes: ReadonlyMap<RouteName, RouteDeclaration>
  readonly databases: ReadonlyMap<DatabaseName, DatabaseDeclaration>
}

// Manifests are immutable, so the index of each is built once and cached.
const indexes = new WeakMap<Manifest, ManifestIndex>()

function manifestIndex (manifest: Manifest): ManifestIndex {
  const cached = indexes.get(manifest)
  if (cached !== undefined) return cached
  const index: ManifestIndex = {
    accounts: new Map(manifest.accounts.map(account => [account.name, account])),
    keyIds: new Map(manifest.accounts.map(account => [account.name, new Set(account.keys.map(keyIdentity))])),
    callersByDigest: new Map(manifest.accounts.flatMap(account => account.keys.map(key => [key.digest, { kind: 'account', account: account.name, keyId: keyIdentity(key) }] as const))),
    routes: new Map(manifest.routes.map(route => [route.name, route])),
    databases: new Map(manifest.databases.map(database => [database.name, database]))
  }
  indexes.set(manifest, index)
  return index
}

// All keys are checked, so that the response time does not reveal which one
// matches.
function matchingKey (account: AccountDeclaration | undefined, credential: { readonly nonce: Uint8Array, readonly proof: Uint8Array }): KeyDeclaration | undefined {
  const matching = (account?.keys ?? []).filter(key => checkNativePassword(key.digest, credential.nonce, credential.proof))
  return matching[0]
}

// The identity includes the digest, because a key that is replaced under the
// same id is a different key. A hash of the digest is used, so that digests
// stay within the manifest.
/**
 * Returns the identity of a key, which an authenticated caller keeps.
 * @param key - the declared key
 * @returns the key id with a fingerprint of the digest
 */
export function keyIdentity (key: KeyDeclaration): string {
  const fingerprintCharacters = 12
  const fingerprint = createHash('sha256').update(key.digest).digest('hex').slice(0, fingerprintCharacters)
  return `${key.id}#${fingerprint}`
}

function isKeyValid (index: ManifestIndex, caller: Caller): boolean {
  switch (caller.kind) {
    case 'account': return index.keyIds.get(caller.account)?.has(caller.keyId) === true
    case 'anonymous': return true
  }
}

function grants (route: RouteDeclaration, caller: Caller): boolean {
  switch (route.access.kind) {
    case 'open': return true
    case 'anyAccount': return caller.kind === 'account'
    case 'accounts': return caller.kind === 'account' && route.access.accounts.includes(caller.account)
  }
}
