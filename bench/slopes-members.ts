// Measures the time of one event and the memory of the state of membership,
// rendezvous hashing, quota partitions and limits, for three sizes of the fleet.
// Prints tables for docs/CAPACITY.md.
//
//   node --expose-gc dist/bench/slopes-members.js

import { confirmedUntil, initialLimits, initialPartitions, limitsStep, partitionFractions, partitionRange, partitionsStep, type LimitsEvent, type LimitsState, type PartitionTable } from '../src/limits/index.js'
import { quotaCoordinator, defaultMembershipSettings, dispatchersOf, initialMembership, membershipStep, type ListedHost, type MembershipEvent, type MembershipState } from '../src/members/index.js'
import type { DatabaseDeclaration, Manifest } from '../src/model/index.js'

const sizes = [18, 670, 6700] as const
const domains = 10
const accountCount = 1000
const runs = 2000

function hostsOf (count: number): readonly ListedHost[] {
  return Array.from({ length: count }, (_, at) => ({ host: `host-${at}`, failureDomain: `d${at % domains}`, ip: '10.0.0.1', port: at, state: 'live' }))
}

function databaseOf (name: string): DatabaseDeclaration {
  const servers = Array.from({ length: 3 }, (_, at) => ({ name: `${name}-${at}`, ip: '10.0.0.1', port: 1, failureDomain: `d${at}`, slots: 5, maxConnections: 75, state: 'active' as const }))
  return { name, servers, state: 'active' }
}

function manifestOf (partitionCount: number): Manifest {
  const accounts = Array.from({ length: accountCount }, (_, at) => ({ name: `account-${at}`, keys: [], ratePerS: 100 + at, burst: 100 + at, weight: 1 }))
  return { accounts, databases: [], routes: [], anonymous: { ratePerS: 10, burst: 10 }, seats: partitionCount }
}

/** Mean time of one call in microseconds, after a warm-up. */
function timeOf (count: number, run: (at: number) => void): number {
  for (let at = 0; at < count / 4; at += 1) run(at)
  const start = process.hrtime.bigint()
  for (let at = 0; at < count; at += 1) run(at)
  return Number(process.hrtime.bigint() - start) / 1000 / count
}

/** Heap size of a value in KB; runs the garbage collector if `--expose-gc` is set. */
function memoryOf (make: () => unknown): number {
  globalThis.gc?.()
  const before = process.memoryUsage().heapUsed
  const kept = make()
  globalThis.gc?.()
  const used = process.memoryUsage().heapUsed - before
  return kept === undefined ? 0 : Math.round(used / 1024)
}

type Row = Readonly<Record<string, string | number>>

function membershipRow (count: number): Row {
  const hosts = hostsOf(count)
  const start = (): MembershipState => {
    const empty = initialMembership(hosts[0] as ListedHost, defaultMembershipSettings, 0)
    return membershipStep(empty, { kind: 'hostsListed', hosts, nowMs: 0 }).state
  }
  let state = start()
  const peers = [...state.observed]
  const heartbeatFrom = (at: number): MembershipEvent => ({
    kind: 'heartbeatReceived',
    state: { host: peers[at % peers.length] as string, failureDomain: 'd0', incarnation: 'a', state: 'serving', generation: 1, storeConfirmedAgoMs: 0 },
    nowMs: at
  })
  return {
    peers: peers.length,
    'heartbeat us': timeOf(runs, at => { state = membershipStep(state, heartbeatFrom(at)).state }).toFixed(1),
    'tick us': timeOf(runs, at => { state = membershipStep(state, { kind: 'tick', nowMs: runs + at / 100 }).state }).toFixed(1),
    'list us': timeOf(20, at => { state = membershipStep(state, { kind: 'hostsListed', hosts, nowMs: 2 * runs + at }).state }).toFixed(0),
    'state KB': memoryOf(start)
  }
}

function rendezvousRow (count: number): Row {
  const hosts = hostsOf(count)
  const database = databaseOf('db')
  dispatchersOf(database, hosts)
  return {
    'index us': timeOf(5, () => { dispatchersOf(database, [...hosts]) }).toFixed(0),
    'dispatchers of a database us': timeOf(runs, at => { dispatchersOf({ ...database, name: `db${at}` }, hosts) }).toFixed(1),
    'quota coordinator us': timeOf(runs, at => { quotaCoordinator(`account${at}`, hosts) }).toFixed(1)
  }
}

function partitionsRow (count: number): Row {
  const hosts = hostsOf(count)
  const partitionCount = Math.max(64, Math.ceil(count * 1.25))
  const range = partitionRange('host-0', hosts.map(({ host }) => host), partitionCount)
  const table: PartitionTable = { seats: Array.from({ length: range.size }, (_, at) => ({ host: range.hosts[at % range.hosts.length] as string, incarnation: 'x'.repeat(8) })) }
  const start = () => partitionsStep(partitionsStep(initialPartitions({ host: 'host-0', incarnation: 'x'.repeat(8) }), { kind: 'manifestApplied', partitionCount, nowMs: 0 }).state, { kind: 'hostsListed', hosts, nowMs: 0 }).state
  let state = start()
  return {
    'table bytes': JSON.stringify(table).length,
    'hosts in table': range.hosts.length,
    'table read us': timeOf(20, at => { state = partitionsStep(state, { kind: 'tableRead', table, version: at + 1, nowMs: at }).state }).toFixed(0),
    'read period s': Math.max(5, count * 0.05),
    'partitions of account': Array.from({ length: partitionCount }, (_, partition) => partitionFractions('account-1', { ratePerS: 101, partitionCount })(partition)).filter(fraction => fraction > 0).length
  }
}

function limitsRow (count: number): Row {
  const hosts = hostsOf(count)
  const partitionCount = Math.max(64, Math.ceil(count * 1.25))
  const ownedPartitions = Array.from({ length: Math.ceil(partitionCount / count) }, (_, at) => at)
  const events: readonly LimitsEvent[] = [
    { kind: 'confirmationChanged', confirmation: confirmedUntil(Infinity), nowMs: 0 },
    { kind: 'membersChanged', live: hosts, nowMs: 0 },
    { kind: 'manifestApplied', manifest: manifestOf(partitionCount), nowMs: 0 },
    { kind: 'partitionsChanged', owned: ownedPartitions, reacquired: new Set(), owners: new Map(), tableReadSentMs: 0, nowMs: 0 }
  ]
  const start = (): LimitsState => events.reduce((state, event) => limitsStep(state, event).state, initialLimits('host-0', 0))
  let state = start()
  return {
    accounts: accountCount,
    'admit us': timeOf(runs, at => { state = limitsStep(state, { kind: 'admit', account: `account-${at % 100}`, id: 'r', deadlineMs: Infinity, mode: 'local', nowMs: 60_000 + at }).state }).toFixed(1),
    'borrow request us': timeOf(runs, at => {
      const request = { account: `account-${at % 10}`, purpose: 'use', sequence: at, held: { ratePerS: 0, capacity: 0 }, answered: 0, want: { ratePerS: 1, capacity: 1 }, wantTokens: 1, aheadTokens: 0, returnedTokens: 0, isUrgent: false } as const
      state = limitsStep(state, { kind: 'borrowRequested', callId: 'c', from: `host-${at % count}`, incarnation: 'a', request, nowMs: 70_000 + at }).state
    }).toFixed(1),
    'tick us': timeOf(20, at => { state = limitsStep(state, { kind: 'tick', nowMs: 80_000 + 10 * at }).state }).toFixed(0),
    'active accounts': state.active.size,
    'state KB': memoryOf(start)
  }
}

for (const [name, rowOf] of [['membership', membershipRow], ['rendezvous', rendezvousRow], ['partitions', partitionsRow], ['limits', limitsRow]] as const) {
  console.log(name)
  console.table(Object.fromEntries(sizes.map(size => [size, rowOf(size)])))
}
