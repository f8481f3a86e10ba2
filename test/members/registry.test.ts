// The hosts' list while the store returns from a copy.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import { restoredHostsMs, withRestoredHosts, type ListedHost } from '../../src/members/index.js'

function hostsOf (...names: readonly string[]): readonly ListedHost[] {
  return names.map(host => ({ host, failureDomain: 'd', ip: '127.0.0.1', port: 1, state: 'live' }))
}

const nobody: ReadonlySet<string> = new Set()

// Guards against dispatchers and partitions that move although their host is there.
test('a host that the copy lacks stays listed while it responds, until it had time to register again', () => {
  const before = withRestoredHosts(undefined, { hosts: hostsOf('a', 'b', 'c'), era: 0 }, nobody, 0)
  const listed = { hosts: hostsOf('a'), era: 1 }
  const restored = withRestoredHosts(before, listed, new Set(['c']), 100)
  assert.deepEqual(restored.hosts.map(({ host }) => host), ['a', 'b'])
  assert.deepEqual(withRestoredHosts(restored, listed, nobody, 99 + restoredHostsMs).hosts.map(({ host }) => host), ['a', 'b'])
  assert.deepEqual(withRestoredHosts(restored, listed, nobody, 100 + restoredHostsMs).hosts, listed.hosts)
})

// Guards against hosts that stay listed in a store that was never restored.
test('within an era, and for a host that has just started, the list is that of the store', () => {
  const first = withRestoredHosts(undefined, { hosts: hostsOf('a', 'b'), era: 2 }, nobody, 0)
  assert.deepEqual(withRestoredHosts(first, { hosts: hostsOf('a'), era: 2 }, nobody, 10).hosts, hostsOf('a'))
})
