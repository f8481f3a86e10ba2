import assert from 'node:assert/strict'
import { createHash, randomBytes } from 'node:crypto'
import { test } from 'node:test'
import { checkManifest, checkNativePassword, digestOf, containsKey, keyRandomBytes, newKey } from '../../src/config/index.js'
import { accountOf, databaseOf, keyOf, manifestOf, routeOf } from './fixtures.js'

function errorsOf (value: unknown): readonly string[] {
  const result = checkManifest(value)
  return result.kind === 'invalid' ? result.errors : []
}

function proofOf (key: string, nonce: Uint8Array): Uint8Array {
  const sha1 = (bytes: Uint8Array) => createHash('sha1').update(bytes).digest()
  const hash = sha1(Buffer.from(key))
  const mask = sha1(Buffer.concat([nonce, sha1(hash)]))
  return hash.map((byte, at) => byte ^ (mask[at] as number))
}

test('a valid manifest is taken as it stands', () => {
  assert.deepEqual(checkManifest(manifestOf()), { kind: 'valid', manifest: manifestOf() })
})

test('references, duplicates and bounds are checked, each error with its place', () => {
  const first = databaseOf('orders', 4000)
  assert.deepEqual(errorsOf(manifestOf({
    accounts: [accountOf('bench', keyOf('a')), accountOf('bench', keyOf('a')), accountOf('desk', keyOf('c'), { burst: 0 })],
    databases: [first, databaseOf('till', 4002, { servers: [] })],
    routes: [routeOf('orders', 'none', ['bench', 'stranger', 'desk'])],
    seats: 0
  })), [
    'accounts[2].burst: found 0, allowed: a number above 0, at most 10000000',
    'seats: found 0, allowed: a whole number from 1 to 100000',
    'accounts[1].name: found "bench", allowed: a value that no other account name has',
    'accounts[1].keys[0].digest: found a digest that is declared above, allowed: a value that no other digest has',
    'databases[1].servers: found no active server, allowed: at least 1 active server in an active database',
    'routes[0].database: found "none", allowed: the name of a declared database',
    'routes[0].access.accounts[1]: found "stranger", allowed: the name of a declared account'
  ])
})

test('two servers may share neither name nor address', () => {
  const orders = databaseOf('orders', 4000)
  const same = { ...databaseOf('till', 5000), servers: orders.servers.slice(0, 1) }
  assert.deepEqual(errorsOf(manifestOf({ databases: [orders, same] })), [
    'databases[1].servers[0].name: found "orders-0", allowed: a value that no other server name has',
    'databases[1].servers[0].port: found "127.0.0.1:4000", allowed: a value that no other address has'
  ])
})

test('unknown fields are errors, and neither digest nor key is repeated', () => {
  const key = keyOf('d')
  const [account] = manifestOf().accounts
  const errors = errorsOf({ ...manifestOf(), note: 1, seats: key, accounts: [{ ...account, name: key, keys: [{ id: 'one', digest: 'ABCDEF' }] }] })
  assert.ok(errors.includes('note: found a field of that name, allowed: only the fields of the documentation'), errors.join('\n'))
  assert.ok(errors.includes('accounts[0].name: found text that holds a key, allowed: no key in any field'), errors.join('\n'))
  assert.doesNotMatch(errors.join(), /ABCDEF|lmk_/)
})

test('what is no manifest at all is an error, not a failure', () => {
  for (const value of [undefined, null, 3, 'text', [], {}]) assert.notEqual(errorsOf(value).length, 0)
})

test('a key proves itself by its digest alone', () => {
  const key = newKey(randomBytes(keyRandomBytes))
  const nonce = randomBytes(20)
  assert.match(key, /^lmk_[a-z2-7]{40}$/)
  assert.equal(checkNativePassword(digestOf(key), nonce, proofOf(key, nonce)), true)
  assert.equal(checkNativePassword(digestOf(key), nonce, proofOf(keyOf('e'), nonce)), false)
  assert.equal(checkNativePassword(digestOf(key), randomBytes(20), proofOf(key, nonce)), false)
  assert.equal(checkNativePassword(digestOf(key), nonce, new Uint8Array(0)), false)
})

test('anything shaped like a key is found in a text', () => {
  assert.equal(containsKey(`SELECT '${keyOf('q')}'`), true)
  assert.equal(containsKey('SELECT \'lmk_short\''), false)
})
