// Who a caller is and what it may do under a manifest. Asked for the key once
// at the login and for everything else at each statement, so that a withdrawn
// key or a closed route also ends work on connections that are already open.

import { createHash } from 'node:crypto'
import type { AccountDeclaration, AccountName, Caller, DatabaseDeclaration, DatabaseName, KeyDeclaration, Manifest, NotRunReason, RouteDeclaration, RouteName } from '../model/index.js'
import { checkNativePassword, digestOf } from './keys.js'

/** How a caller shows its key. */
export type Credential =
  | {
    readonly kind: 'nativePassword'
    readonly user: string
    /** The 20 bytes that the handshake sent. */
    readonly nonce: Uint8Array
    /** The native password proof; empty where the caller showed no key. */
    readonly proof: Uint8Array
  }
  /** The key itself, which also names the account. */
  | { readonly kind: 'key', readonly key: string | undefined }

/** What a caller shows at its login. */
export type Login = {
  readonly route: RouteName
  readonly credential: Credential
}

/** What became of a login. */
export type AuthenticationResult =
  | { readonly kind: 'granted', readonly caller: Caller }
  | { readonly kind: 'refused', readonly reason: NotRunReason & ('badKey' | 'routeUnknown' | 'routeForbidden') }

/** What a caller may do on a route now. */
export type RouteAuthorization =
  | { readonly kind: 'allowed', readonly route: RouteDeclaration }
  | { readonly kind: 'refused', readonly reason: NotRunReason & ('keyWithdrawn' | 'routeUnknown' | 'routeForbidden' | 'leaving') }

/**
 * Decides who a caller is.
 * @param manifest - the manifest in force
 * @param login - what the caller showed
 * @returns the caller, or why the login is refused; an unknown account reads as a bad key
 */
export function authenticate (manifest: Manifest, login: Login): AuthenticationResult {
  const index = indexOf(manifest)
  switch (login.credential.kind) {
    case 'nativePassword': return passwordDecision(index, login.route, login.credential)
    case 'key': return bareKeyDecision(index, login.route, login.credential.key)
  }
}

function passwordDecision (index: ManifestIndex, routeName: RouteName, credential: Extract<Credential, { readonly kind: 'nativePassword' }>): AuthenticationResult {
  const route = index.routes.get(routeName)
  if (credential.proof.length === 0 && route?.access.kind === 'open') return { kind: 'granted', caller: { kind: 'anonymous' } }
  const key = provenKey(index.accounts.get(credential.user), credential)
  if (key === undefined) return { kind: 'refused', reason: 'badKey' }
  if (route === undefined) return { kind: 'refused', reason: 'routeUnknown' }
  return grantedOn(route, { kind: 'account', account: credential.user, keyId: keyIdentity(key) })
}

// On an open route the key says nothing, so it is not looked at.
function bareKeyDecision (index: ManifestIndex, routeName: RouteName, key: string | undefined): AuthenticationResult {
  const route = index.routes.get(routeName)
  if (route === undefined) return { kind: 'refused', reason: 'routeUnknown' }
  if (route.access.kind === 'open') return { kind: 'granted', caller: { kind: 'anonymous' } }
  const holder = key === undefined ? undefined : index.holders.get(digestOf(key))
  if (holder === undefined) return { kind: 'refused', reason: 'badKey' }
  return grantedOn(route, holder)
}

function grantedOn (route: RouteDeclaration, caller: Caller): AuthenticationResult {
  return grants(route, caller) ? { kind: 'granted', caller } : { kind: 'refused', reason: 'routeForbidden' }
}

/**
 * Decides whether a caller may run a statement on a route now.
 * @param manifest - the manifest in force
 * @param caller - who the login said the caller is
 * @param routeName - the route
 * @param open - the route of an open transaction, which goes on under it
 * @returns the route, or why the statement is not run
 */
export function authorizeRoute (manifest: Manifest, caller: Caller, routeName: RouteName, open?: RouteDeclaration): RouteAuthorization {
  const index = indexOf(manifest)
  if (!isInForce(index, caller)) return { kind: 'refused', reason: 'keyWithdrawn' }
  const route = open ?? index.routes.get(routeName)
  if (route === undefined) return { kind: 'refused', reason: 'routeUnknown' }
  if (!grants(route, caller)) return { kind: 'refused', reason: 'routeForbidden' }
  const leaving = index.databases.get(route.database)?.state !== 'active'
  if (leaving && open === undefined) return { kind: 'refused', reason: 'leaving' }
  return { kind: 'allowed', route }
}

/**
 * Finds a client account.
 * @param manifest - the manifest in force
 * @param account - its name
 * @returns the account, or undefined where there is none
 */
export function accountOf (manifest: Manifest, account: AccountName): AccountDeclaration | undefined {
  return indexOf(manifest).accounts.get(account)
}

/**
 * Finds a database.
 * @param manifest - the manifest in force
 * @param database - its name
 * @returns the database, or undefined where there is none
 */
export function databaseOf (manifest: Manifest, database: DatabaseName): DatabaseDeclaration | undefined {
  return indexOf(manifest).databases.get(database)
}

type ManifestIndex = {
  readonly accounts: ReadonlyMap<string, AccountDeclaration>
  readonly keyIds: ReadonlyMap<string, ReadonlySet<string>>
  /** Callers by the digest of their key. */
  readonly holders: ReadonlyMap<string, Caller>
  readonly routes: ReadonlyMap<RouteName, RouteDeclaration>
  readonly databases: ReadonlyMap<DatabaseName, DatabaseDeclaration>
}

// A manifest never changes, so its index is made once for as long as it lives.
const indexes = new WeakMap<Manifest, ManifestIndex>()

function indexOf (manifest: Manifest): ManifestIndex {
  const known = indexes.get(manifest)
  if (known !== undefined) return known
  const index: ManifestIndex = {
    accounts: new Map(manifest.accounts.map(account => [account.name, account])),
    keyIds: new Map(manifest.accounts.map(account => [account.name, new Set(account.keys.map(keyIdentity))])),
    holders: new Map(manifest.accounts.flatMap(account => account.keys.map(key => [key.digest, { kind: 'account', account: account.name, keyId: keyIdentity(key) }] as const))),
    routes: new Map(manifest.routes.map(route => [route.name, route])),
    databases: new Map(manifest.databases.map(database => [database.name, database]))
  }
  indexes.set(manifest, index)
  return index
}

// All keys are tried, so that the time does not tell which one fits.
function provenKey (account: AccountDeclaration | undefined, login: { readonly nonce: Uint8Array, readonly proof: Uint8Array }): KeyDeclaration | undefined {
  const proven = (account?.keys ?? []).filter(key => checkNativePassword(key.digest, login.nonce, login.proof))
  return proven[0]
}

// The digest is part of the identity: a key that was exchanged under the same
// id is another key. Its hash stands in, as digests appear nowhere else.
/**
 * The identity of a key, as an accepted login carries it.
 * @param key - the declared key
 * @returns its id with a fingerprint of its digest
 */
export function keyIdentity (key: KeyDeclaration): string {
  const fingerprintCharacters = 12
  const fingerprint = createHash('sha256').update(key.digest).digest('hex').slice(0, fingerprintCharacters)
  return `${key.id}#${fingerprint}`
}

function isInForce (index: ManifestIndex, caller: Caller): boolean {
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
