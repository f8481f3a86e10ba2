// Measures how the cost of the decision code grows with the size of the system,
// without sockets: the manifest, the assignment of dispatchers, the work of a
// dispatcher, the fair queue and the parsing of statements. Run by
// `npm run bench:slopes-decisions`.

import { digestOf, checkManifest } from '../src/config/index.js'
import { defaultFailoverSettings, failoverStep, initialFailoverState, type FailoverState } from '../src/failover/index.js'
import { quotaCoordinator, dispatcherRanks, dispatchersOf, ringNeighbours, watchersOf, type Member } from '../src/members/index.js'
import type { AccountDeclaration, DatabaseDeclaration, Manifest, ServerStatus } from '../src/model/index.js'
import { classify, parseHints } from '../src/wire/sql/index.js'
import { schedulerStep, initialScheduler, type SchedulerState } from '../src/schedule/index.js'
import { meanUs, slopeTable, type MeasuredSlope } from './slope-report.js'

const failureDomains = 10
const serversPerDatabase = 3
const bytesPerKb = 1024

function domainOf (at: number): string {
  return `domain-${at % failureDomains}`
}

function membersOf (count: number): readonly Member[] {
  return Array.from({ length: count }, (_, at) => ({ host: `host-${at}`, failureDomain: domainOf(at), ip: '10.0.0.1', port: 4000 }))
}

function databasesOf (count: number): readonly DatabaseDeclaration[] {
  return Array.from({ length: count }, (_, at) => ({
    name: `database-${at}`,
    state: 'active',
    servers: Array.from({ length: serversPerDatabase }, (_unused, server) => ({
      name: `database-${at}-${server}`, ip: '10.0.0.1', port: 3306, failureDomain: domainOf(at + server), slots: 5, maxConnections: 75, state: 'active'
    }))
  }))
}

function accountsOf (count: number): readonly AccountDeclaration[] {
  return Array.from({ length: count }, (_, at) => ({
    name: `account-${at}`, keys: [{ id: 'first', digest: digestOf(`key-${at}`) }], ratePerS: 100, burst: 200, weight: 1
  }))
}

function manifestOf (databases: number): Manifest {
  const declared = databasesOf(databases)
  return {
    accounts: accountsOf(databases),
    databases: declared,
    routes: declared.map((database, at) => ({ name: database.name, database: database.name, access: { kind: 'accounts', accounts: [`account-${at}`] } })),
    anonymous: { ratePerS: 100, burst: 100 },
    seats: 18
  }
}

function points (sizes: readonly number[], measure: (size: number) => number): MeasuredSlope['points'] {
  return sizes.map(size => [size, measure(size)] as const)
}

const databaseSizes = [500, 1000, 2000, 4000]
const memberSizes = [670, 1675, 3350, 6700]
const accountSizes = [8, 32, 128, 512]

function manifestSlopes (): readonly MeasuredSlope[] {
  const texts = new Map(databaseSizes.map(size => [size, JSON.stringify(manifestOf(size))]))
  const text = (size: number): string => texts.get(size) ?? ''
  return [
    { name: 'manifest, JSON', sizeName: 'databases', unit: 'KB', points: points(databaseSizes, size => text(size).length / bytesPerKb) },
    { name: 'manifest, heap', sizeName: 'databases', unit: 'KB', points: points(databaseSizes, size => heapKbOf(() => JSON.parse(text(size)))) },
    { name: 'manifest, decode', sizeName: 'databases', unit: 'us', points: points(databaseSizes, size => meanUs(10, () => { JSON.parse(text(size)) })) },
    { name: 'manifest, full check', sizeName: 'databases', unit: 'us', points: points(databaseSizes, size => meanUs(5, () => { checkManifest(JSON.parse(text(size))) })) }
  ]
}

/** Heap size of a value in KB; NaN without `--expose-gc`. */
function heapKbOf (make: () => unknown): number {
  const collect = globalThis.gc
  if (collect === undefined) return NaN
  collect()
  const before = process.memoryUsage().heapUsed
  const held = make()
  collect()
  const grown = process.memoryUsage().heapUsed - before
  return held === undefined ? NaN : grown / bytesPerKb
}

function assignmentSlopes (): readonly MeasuredSlope[] {
  const databases = databasesOf(200)
  const each = (size: number, place: (database: DatabaseDeclaration, members: readonly Member[]) => void): number => {
    const members = membersOf(size)
    return meanUs(1000, run => { place(databases[run % databases.length] as DatabaseDeclaration, members) })
  }
  return [
    { name: 'dispatchers of one database', sizeName: 'members', unit: 'us', points: points(memberSizes, size => each(size, dispatchersOf)) },
    { name: 'failover ranks of one database', sizeName: 'members', unit: 'us', points: points(memberSizes, size => each(size, dispatcherRanks)) },
    { name: 'quota coordinator of one account', sizeName: 'members', unit: 'us', points: points(memberSizes, size => each(size, (database, members) => { quotaCoordinator(database.name, members) })) },
    { name: 'new member list', sizeName: 'members', unit: 'us', points: points(memberSizes, size => meanUs(20, () => { dispatchersOf(databases[0] as DatabaseDeclaration, membersOf(size)) })) },
    { name: 'watchers of all failure domains', sizeName: 'members', unit: 'us', points: points(memberSizes, size => each(size, (_, members) => { watchersOf(members, 2) })) },
    { name: 'ring neighbours', sizeName: 'members', unit: 'us', points: points(memberSizes, size => { const names = membersOf(size).map(member => member.host); return meanUs(20, () => { ringNeighbours('self', names) }) }) },
    { name: 'ring neighbours, count', sizeName: 'members', unit: '', points: points(memberSizes, size => ringNeighbours('self', membersOf(size).map(member => member.host)).length) }
  ]
}

function steadyFailoverState (database: DatabaseDeclaration): FailoverState {
  const position = { term: 1, index: 10 }
  const first = failoverStep(initialFailoverState(database, 'self#1', defaultFailoverSettings), { kind: 'ranksChanged', rank: 0, nowMs: 0 }).state
  return database.servers.reduce<FailoverState>((state, server, at) => {
    const status: ServerStatus = { server: server.name, role: at === 0 ? 'primary' : 'replica', fencedTerm: 1, proposer: 'old', received: position, applied: position }
    return failoverStep(state, { kind: 'statusReceived', status, nowMs: 1 }).state
  }, first)
}

function dispatcherSlopes (): readonly MeasuredSlope[] {
  const databaseCounts = [4, 8, 16, 32]
  const ticks = (size: number): number => {
    const states = databasesOf(size).map(steadyFailoverState)
    return meanUs(2000, run => { for (const state of states) failoverStep(state, { kind: 'tick', nowMs: run % 100, random: 0.5 }) })
  }
  return [
    { name: 'failover decision, one tick of all databases', sizeName: 'databases of this host', unit: 'us', points: points(databaseCounts, ticks) },
    { name: 'fair queue, one statement enqueued and finished', sizeName: 'accounts', unit: 'us', points: points(accountSizes, fairQueueUs) }
  ]
}

function fairQueueUs (accounts: number): number {
  let state: SchedulerState = initialScheduler({ slots: 5, maxWaiting: 1000, maxLaneWaitMs: 500 })
  let id = 0
  const serve = (): void => {
    id += 1
    const nowMs = id
    state = schedulerStep(state, { kind: 'offered', id: String(id), account: `account-${id % accounts}`, weight: 1, deadlineAtMs: nowMs + 1000, nowMs }).state
    state = schedulerStep(state, { kind: 'finished', id: String(id), tookMs: 1, nowMs }).state
  }
  return meanUs(5000, serve)
}

function statementSlopes (): readonly MeasuredSlope[] {
  const lengths = [100, 1000, 10_000]
  const sql = (length: number): string => `/* limpetmoor max_age_ms=500 */ SELECT a FROM t WHERE b IN (${'1,'.repeat(Math.floor(length / 2))}1)`
  return [
    { name: 'hints and class of a statement', sizeName: 'characters', unit: 'us', points: points(lengths, size => { const text = sql(size); return meanUs(500, () => { const hints = parseHints(text); if (hints.kind === 'hints') classify(text, hints.hints) }) }) }
  ]
}

console.log(slopeTable([...manifestSlopes(), ...assignmentSlopes(), ...dispatcherSlopes(), ...statementSlopes()]))
