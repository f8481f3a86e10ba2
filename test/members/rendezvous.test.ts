import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { DatabaseDeclaration, ServerDeclaration } from '../../src/model/index.js'
import { capableMembers, quotaCoordinator, dispatcherRanks, dispatchersOf, rendezvousOrder, watchersOf, type Member } from '../../src/members/index.js'

const domains = ['north', 'south', 'west']

function members (count: number): readonly Member[] {
  return Array.from({ length: count }, (_, at) => ({ host: `h${at}`, failureDomain: domains[at % 3] as string, ip: '127.0.0.1', port: 7000 + at }))
}

function server (name: string, failureDomain: string): ServerDeclaration {
  return { name, failureDomain, ip: '127.0.0.1', port: 3306, slots: 5, maxConnections: 75, state: 'active' }
}

function database (name: string): DatabaseDeclaration {
  return { name, state: 'active', servers: domains.map(domain => server(`${name}-${domain}`, domain)) }
}

function names (count: number): readonly string[] {
  return Array.from({ length: count }, (_, at) => `h${at}`)
}

test('the order holds every name once and does not depend on the order given', () => {
  const order = rendezvousOrder('key', names(20))
  assert.deepEqual([...order].sort(), [...names(20)].sort())
  assert.deepEqual(rendezvousOrder('key', [...names(20)].reverse()), order)
})

test('removing a name moves only the keys assigned to it, evenly', () => {
  const keys = Array.from({ length: 2000 }, (_, at) => `key${at}`)
  const counts = new Map<string, number>()
  for (const key of keys) {
    const [first, second] = rendezvousOrder(key, names(10))
    counts.set(first as string, (counts.get(first as string) ?? 0) + 1)
    const after = rendezvousOrder(key, names(10).filter(name => name !== 'h3'))[0]
    assert.equal(after, first === 'h3' ? second : first)
  }
  for (const name of names(10)) assert.ok((counts.get(name) ?? 0) > 140, `${name} has ${counts.get(name)} keys`)
})

test('the dispatcher of a server is in its failure domain, or anywhere if that has no member', () => {
  const all = members(18)
  const homes = dispatchersOf(database('ledger'), all)
  for (const domain of domains) {
    const home = all.find(member => member.host === homes.get(`ledger-${domain}`))
    assert.equal(home?.failureDomain, domain)
  }
  const without = all.filter(member => member.failureDomain !== 'west')
  assert.notEqual(dispatchersOf(database('ledger'), without).get('ledger-west'), undefined)
  assert.equal(dispatchersOf(database('ledger'), []).size, 0)
})

test('tasks for other hosts go to capable hosts, and to others where none of those is left', () => {
  const small = members(30).map(member => ({ ...member, capacityCores: 0.227 }))
  const large = domains.flatMap((failureDomain, at) => [0, 1].map(next => ({ host: `large${2 * at + next}`, failureDomain, ip: '127.0.0.1', port: 1, capacityCores: 1.35 })))
  const all = [...small, ...large]
  const isLarge = (host: string | undefined): boolean => host?.startsWith('large') === true
  assert.ok([...dispatchersOf(database('ledger'), all).values()].every(isLarge))
  assert.ok(watchersOf(all, 1).every(isLarge) && isLarge(quotaCoordinator('mill', all)))
  const withoutWest = all.filter(member => member.failureDomain !== 'west' || !isLarge(member.host))
  assert.equal(isLarge(dispatchersOf(database('ledger'), withoutWest).get('ledger-west')), false)
  const { capacityCores: _, ...unknown } = large[0] as Member
  assert.equal(capableMembers([...all, unknown]).length, all.length + 1)
})

test('each dispatcher has one rank for failover', () => {
  const ranks = dispatcherRanks(database('ledger'), members(18))
  assert.deepEqual([...ranks].sort(), [...new Set(dispatchersOf(database('ledger'), members(18)).values())].sort())
  assert.deepEqual(dispatcherRanks(database('ledger'), members(1)), ['h0'])
})

test('each failure domain has its watchers, and an account its coordinator', () => {
  const all = members(18)
  const watchers = watchersOf(all, 2)
  for (const domain of domains) {
    const inDomain = watchers.filter(host => all.some(member => member.host === host && member.failureDomain === domain))
    assert.equal(inDomain.length, 2)
  }
  const home = quotaCoordinator('mill', all)
  const others = all.filter(member => member.host !== home)
  assert.ok(others.some(member => member.host === quotaCoordinator('mill', others)))
  assert.equal(quotaCoordinator('mill', []), undefined)
})
