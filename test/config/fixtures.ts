// Builds manifests for the tests of this folder.

import { digestOf } from '../../src/config/index.js'
import type { AccountDeclaration, DatabaseDeclaration, Manifest, RouteDeclaration } from '../../src/model/index.js'

/** Returns a key whose 40 characters are all `letter`. */
export function keyOf (letter: string): string {
  return `lmk_${letter.repeat(40)}`
}

export function accountOf (name: string, key: string, changes: Partial<AccountDeclaration> = {}): AccountDeclaration {
  return { name, keys: [{ id: 'first', digest: digestOf(key) }], ratePerS: 10, burst: 20, weight: 1, ...changes }
}

export function databaseOf (name: string, firstPort: number, changes: Partial<DatabaseDeclaration> = {}): DatabaseDeclaration {
  const servers = [0, 1, 2].map(at => ({
    name: `${name}-${at}`,
    ip: '127.0.0.1',
    port: firstPort + at,
    failureDomain: `domain-${at}`,
    slots: 5,
    maxConnections: 75,
    state: 'active' as const
  }))
  return { name, servers, state: 'active', ...changes }
}

export function routeOf (name: string, database: string, accounts: readonly string[]): RouteDeclaration {
  return { name, database, access: { kind: 'accounts', accounts } }
}

export function manifestOf (changes: Partial<Manifest> = {}): Manifest {
  return {
    accounts: [accountOf('bench', keyOf('a')), accountOf('desk', keyOf('b'))],
    databases: [databaseOf('orders', 4000)],
    routes: [routeOf('orders', 'orders', ['bench']), { name: 'public', database: 'orders', access: { kind: 'open' } }],
    anonymous: { ratePerS: 5, burst: 5 },
    seats: 18,
    ...changes
  }
}
