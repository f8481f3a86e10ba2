import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { comparePositions, type Position } from '../../src/model/index.js'
import { appendCommitted, applyDue, fence, follow, canCommit, newLedger, promote, receive, resumePosition, ship, statusOf, type Ledger } from '../../standins/database/ledger.js'
import { entriesAfter, holdsPosition, lastPosition, logLength, type LogEntry } from '../../standins/database/log.js'

const serverCount = 3
const majority = 2

/** Three ledgers, the data that each has applied, and the acknowledged entries. */
type Group = {
  readonly ledgers: readonly Ledger[]
  readonly data: ReadonlyArray<readonly string[]>
  readonly acknowledged: readonly LogEntry[]
  readonly written: number
  /** Responses to pulls that are not yet delivered. */
  readonly delayed: readonly DelayedShipment[]
}

type DelayedShipment = { readonly server: number, readonly term: number, readonly entries: readonly LogEntry[] }

type Action =
  | { readonly kind: 'write', readonly server: number }
  | { readonly kind: 'pull', readonly server: number, readonly limit: number, readonly isDelayed: boolean }
  | { readonly kind: 'arrive', readonly pick: number }
  | { readonly kind: 'apply', readonly server: number }
  /**
   * A proposer fences some servers and, with a majority, promotes the most
   * advanced one.
   */
  | { readonly kind: 'failover', readonly term: number, readonly proposer: string, readonly reached: readonly number[], readonly followers: readonly number[] }

const server = fc.nat({ max: serverCount - 1 })
const servers = fc.uniqueArray(server, { maxLength: serverCount })
const anyAction: fc.Arbitrary<Action> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('write' as const), server }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('pull' as const), server, limit: fc.integer({ min: 1, max: 3 }), isDelayed: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('arrive' as const), pick: fc.nat() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('apply' as const), server }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('failover' as const), term: fc.integer({ min: 2, max: 12 }), proposer: fc.constantFrom('p', 'q'), reached: servers, followers: servers }) }
)

const portOf = (index: number): number => index + 1

function newGroup (): Group {
  const empty = Array.from({ length: serverCount }, (_, index) => newLedger(`s${index}`))
  const ledgers = empty.map((ledger, index) => index === 0
    ? promote(fence(ledger, 1, 'initial').ledger, 1, 'initial').ledger
    : follow(ledger, 1, 'initial', { ip: 'x', port: portOf(0) }).ledger)
  return { ledgers, data: ledgers.map(() => []), acknowledged: [], written: 0, delayed: [] }
}

function withLedger (group: Group, index: number, ledger: Ledger, data = group.data[index] ?? []): Group {
  return { ...group, ledgers: group.ledgers.with(index, ledger), data: group.data.with(index, data) }
}

function applyAction (group: Group, action: Action): Group {
  switch (action.kind) {
    case 'write': {
      const ledger = group.ledgers[action.server] as Ledger
      if (!canCommit(ledger)) return group
      const text = `w${group.written}`
      const data = [...group.data[action.server] ?? [], text]
      return { ...withLedger(group, action.server, appendCommitted(ledger, [text]), data), written: group.written + 1 }
    }
    case 'pull': return pull(group, action.server, action.limit, action.isDelayed)
    case 'arrive': {
      const shipment = group.delayed[action.pick % group.delayed.length]
      return shipment === undefined ? group : deliver({ ...group, delayed: group.delayed.filter(each => each !== shipment) }, shipment)
    }
    case 'apply': {
      const due = applyDue(group.ledgers[action.server] as Ledger, 0)
      return withLedger(group, action.server, due.ledger, [...group.data[action.server] ?? [], ...textsOf(due.entries)])
    }
    case 'failover': return failover(group, action)
  }
}

function pull (group: Group, index: number, limit: number, isDelayed: boolean): Group {
  const ledger = group.ledgers[index] as Ledger
  if (ledger.role.kind === 'primary' || ledger.role.source === undefined) return group
  const source = group.ledgers[ledger.role.source.port - 1] as Ledger
  let after: Position = lastPosition(ledger.log)
  for (;;) {
    const shipment = ship(source, ledger.role.term, after)
    if (shipment.kind === 'notPrimary') return group
    if (shipment.kind === 'retry') {
      after = resumePosition(ledger, shipment.at)
      continue
    }
    const answer = { server: index, term: ledger.role.term, entries: shipment.entries.slice(0, limit) }
    return isDelayed ? { ...group, delayed: [...group.delayed, answer] } : deliver(group, answer)
  }
}

function deliver (group: Group, shipment: DelayedShipment): Group {
  const receipt = receive(group.ledgers[shipment.server] as Ledger, shipment.term, shipment.entries, 0)
  const data = receipt.rebuild === undefined ? group.data[shipment.server] : textsOf(receipt.rebuild)
  return withLedger(group, shipment.server, receipt.ledger, data)
}

function failover (group: Group, action: Action & { readonly kind: 'failover' }): Group {
  const fenced = action.reached.map(index => ({ index, result: fence(group.ledgers[index] as Ledger, action.term, action.proposer) }))
  const accepted = fenced.filter(each => each.result.accepted)
  const after = accepted.reduce((next, each) => withLedger(next, each.index, each.result.ledger), group)
  const hasPrimary = after.ledgers.some(ledger => ledger.role.kind === 'primary' && ledger.role.term === action.term)
  if (accepted.length < majority || hasPrimary) return after
  const mostAdvanced = accepted.map(each => each.index)
    .reduce((best, index) => comparePositions(received(after, index), received(after, best)) > 0 ? index : best)
  const before = after.ledgers[mostAdvanced] as Ledger
  const promoted = promote(before, action.term, action.proposer)
  assert.equal(promoted.accepted, true)
  const data = [...after.data[mostAdvanced] ?? [], ...textsOf(before.pending.map(each => each.entry))]
  const promotedGroup = withLedger(after, mostAdvanced, promoted.ledger, data)
  return action.followers.filter(index => index !== mostAdvanced).reduce((next, index) =>
    withLedger(next, index, follow(next.ledgers[index] as Ledger, action.term, action.proposer, { ip: 'x', port: portOf(mostAdvanced) }).ledger), promotedGroup)
}

function received (group: Group, index: number): Position {
  return statusOf(group.ledgers[index] as Ledger).received
}

function entriesOf (ledger: Ledger): readonly LogEntry[] {
  return entriesAfter(ledger.log, 0, logLength(ledger.log))
}

function textsOf (entries: readonly LogEntry[]): readonly string[] {
  return entries.flatMap(entry => entry.statements)
}

/**
 * Acknowledges the positions at or below one that a majority has received in
 * the primary's term.
 */
function acknowledge (group: Group): Group {
  const primary = group.ledgers.find(canCommit)
  const term = primary?.role.term
  if (primary === undefined) return group
  const receivedIndexes = group.ledgers.map(ledger => lastPosition(ledger.log)).filter(position => position.term === term).map(position => position.index)
  const index = receivedIndexes.sort((a, b) => b - a)[majority - 1] ?? 0
  return { ...group, acknowledged: [...group.acknowledged, ...entriesOf(primary).slice(0, index)] }
}

function checkGroup (group: Group): void {
  for (const [index, ledger] of group.ledgers.entries()) {
    const held = textsOf(entriesOf(ledger).slice(0, ledger.applied.index))
    assert.deepEqual(group.data[index], held, 'data matches the applied log')
    assert.ok(comparePositions(ledger.applied, lastPosition(ledger.log)) <= 0, 'applied entries are received')
    for (const other of group.ledgers) {
      const shared = entriesOf(ledger).findLast(entry => holdsPosition(other.log, entry.position))?.position.index ?? 0
      assert.deepEqual(entriesOf(ledger).slice(0, shared), entriesOf(other).slice(0, shared), 'logs agree up to a shared entry')
    }
  }
  const primaries = group.ledgers.filter(ledger => ledger.role.kind === 'primary')
  assert.equal(new Set(primaries.map(ledger => ledger.role.term)).size, primaries.length, 'at most one primary per term')
  const latestPrimary = primaries.filter(canCommit).sort((a, b) => b.role.term - a.role.term)[0]
  const isMajority = latestPrimary !== undefined && group.ledgers.filter(ledger => ledger.fencedTerm <= latestPrimary.role.term).length >= majority
  if (!isMajority) return
  for (const entry of group.acknowledged) assert.ok(holdsPosition(latestPrimary.log, entry.position), 'no acknowledged entry is lost')
}

test('failovers, pulls and writes in any order lose no acknowledged entry', () => {
  fc.assert(fc.property(fc.array(anyAction, { minLength: 20, maxLength: 80 }), actions => {
    actions.reduce((group, action) => {
      const next = acknowledge(applyAction(group, action))
      checkGroup(next)
      return next
    }, newGroup())
  }), { seed: 20_261_207, numRuns: 600 })
})

test('a fence is accepted for a higher term, or again from the same proposer', () => {
  const fenced = fence(newLedger('s'), 3, 'p').ledger
  assert.deepEqual([fence(fenced, 3, 'p'), fence(fenced, 3, 'q'), fence(fenced, 2, 'p'), fence(fenced, 4, 'q')].map(ruling => ruling.accepted), [true, false, false, true])
  assert.deepEqual([promote(fenced, 3, 'q'), promote(fenced, 2, 'p'), promote(fenced, 3, 'p')].map(ruling => ruling.accepted), [false, false, true])
  const primary = promote(fenced, 3, 'p').ledger
  assert.deepEqual([canCommit(primary), canCommit(fence(primary, 4, 'q').ledger)], [true, false])
  assert.deepEqual(lastPosition(promote(primary, 3, 'p').ledger.log), { term: 3, index: 1 })
  assert.equal(follow(primary, 3, 'p', { ip: 'x', port: 1 }).accepted, false)
})

test('a fenced replica accepts no entry from the primary of a lower term', () => {
  const source = { ip: 'x', port: 1 }
  const replica = follow(newLedger('s'), 1, 'initial', source).ledger
  const entry: LogEntry = { position: { term: 1, index: 1 }, statements: ['w'] }
  assert.deepEqual(lastPosition(receive(replica, 1, [entry], 0).ledger.log), { term: 1, index: 1 })
  assert.equal(logLength(receive(fence(replica, 2, 'p').ledger, 1, [entry], 0).ledger.log), 0)
})

test('entries are applied only after their lag', () => {
  const replica = follow(newLedger('s'), 1, 'initial', { ip: 'x', port: 1 }).ledger
  const entry: LogEntry = { position: { term: 1, index: 1 }, statements: ['w'] }
  const taken = receive(replica, 1, [entry], 500).ledger
  assert.deepEqual(applyDue(taken, 499).entries, [])
  assert.deepEqual(applyDue(taken, 500).entries, [entry])
})

test('a fenced primary ships its entries until it follows another primary', () => {
  const written = appendCommitted(promote(fence(newLedger('a'), 1, 'p').ledger, 1, 'p').ledger, ['w'])
  const fenced = fence(written, 2, 'q').ledger
  const shipment = ship(fenced, 1, { term: 1, index: 1 })
  assert.deepEqual(shipment, { kind: 'entries', entries: entriesAfter(written.log, 1, 1) })
  const following = follow(fenced, 2, 'q', { ip: 'x', port: 1 }).ledger
  assert.deepEqual(ship(following, 1, { term: 1, index: 1 }), { kind: 'notPrimary' })
  const replica = follow(newLedger('b'), 1, 'p', { ip: 'x', port: 1 }).ledger
  const caughtUp = receive(replica, 1, entriesAfter(written.log, 0, 2), 0).ledger
  assert.deepEqual(ship(caughtUp, 1, { term: 1, index: 1 }), { kind: 'notPrimary' })
})
