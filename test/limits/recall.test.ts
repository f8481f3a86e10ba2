import assert from 'node:assert/strict'
import { test } from 'node:test'
import { advanced, newAccount, ownShare, refreshed, type AccountLimit, type Borrower } from '../../src/limits/account.js'
import { accountOf } from '../../src/limits/accounts.js'
import { initialLimits, limitsStep, seatQuietMs, type LimitsEffect, type LimitsEvent, type LimitsState } from '../../src/limits/index.js'
import { lendsOn } from '../../src/limits/lending.js'
import { beginRecall, releaseLoans, restsUntilMs, takeRecallAnswer } from '../../src/limits/recall.js'
import { accountsManifest, capExceeded, idealAdmissions, limitFleet, randomFrom } from '../support/limit-fleet.js'

const startMs = 1000
const listMs = 1050

const manifest = accountsManifest(4, [{ name: 'mill', ratePerS: 100, burst: 100 }])

/** A host that has just started and was told of its configuration and its own seats, which are all seats. */
function started (events: readonly LimitsEvent[] = []): LimitsState {
  const first: readonly LimitsEvent[] = [
    { kind: 'confirmationChanged', confirmedUntilMs: Infinity, nowMs: startMs },
    { kind: 'manifestApplied', manifest, nowMs: startMs },
    { kind: 'seatsChanged', held: [0, 1, 2, 3], regained: new Set([0, 1, 2, 3]), holders: new Map(), tableOfMs: startMs, nowMs: startMs }
  ]
  return [...first, ...events].reduce((state, event) => limitsStep(state, event).state, initialLimits('h0', startMs))
}

const listed: LimitsEvent = { kind: 'hostsListed', hosts: ['h0', 'h1', 'h2'], listedAtMs: listMs, nowMs: listMs }

function answered (from: string, freeInMs: number, unusedMs: number, nowMs: number): LimitsEvent {
  return { kind: 'recallAnswered', from, answer: { freeInMs, unusedMs }, nowMs }
}

function usableAt (state: LimitsState, nowMs: number): AccountLimit {
  return advanced(accountOf(state.accounts, 'mill') as AccountLimit, nowMs)
}

/** An account of which this host owns half, with a loan from `h1` and what it lends to `h2`. */
function account (borrower: Pick<Borrower, 'purpose'> & { readonly ratePerS: number }): AccountLimit {
  const before = newAccount('mill', { ratePerS: 100, capacity: 100 }, startMs)
  const lender = { loans: [{ ratePerS: 30, capacity: 30, expiresMs: startMs + 2000, sequence: 7 }], sequence: 7, sentMs: startMs, openUntilMs: startMs + 150, nextAskMs: startMs, backoffMs: 5, emptyAnswers: 0 }
  const { purpose, ratePerS } = borrower
  const loans = ratePerS === 0 ? [] : [{ ratePerS, capacity: ratePerS, expiresMs: startMs + 900, sequence: 3 }]
  return refreshed({ ...before, own: [{ fraction: 0.5, fromMs: startMs }], lenders: new Map([['h1', lender]]), borrowers: new Map([['h2/a', { purpose, loans, sequence: 3, want: { ratePerS, capacity: ratePerS } }]]) })
}

test('regained seats are used as soon as all listed hosts have answered, with the tokens of the time since', () => {
  const asking = started([listed, answered('h1', 0, 40, 1100)])
  assert.equal(usableAt(asking, 1200).usable.ratePerS, 0)
  const done = limitsStep(asking, answered('h2', 0, 200, 1200)).state
  assert.equal(usableAt(done, 1200).usable.ratePerS, 100)
  // h1 has held nothing since 1060 only.
  assert.equal(usableAt(done, 1200).level, 14)
})

test('seats rest for as long as a host goes on with what it lends on', () => {
  const done = started([listed, answered('h1', 700, 0, 1100), answered('h2', 0, 100, 1100)])
  assert.deepEqual([usableAt(done, 1799).usable.ratePerS, usableAt(done, 1800).usable.ratePerS], [0, 100])
  assert.equal(usableAt(done, 1800).level, 0)
})

test('seats rest for the longest loan where a host does not answer, or only an older list is known', () => {
  const old: LimitsEvent = { ...listed, listedAtMs: startMs - 1 }
  for (const state of [started([listed, answered('h1', 0, 100, 1100)]), started([old, answered('h1', 0, 100, 1100), answered('h2', 0, 100, 1100)])]) {
    assert.deepEqual([usableAt(state, startMs + seatQuietMs - 1).usable.ratePerS, usableAt(state, startMs + seatQuietMs).usable.ratePerS], [0, 100])
  }
})

test('a fresh list makes a host ask all others, once', () => {
  const asks = (effects: readonly LimitsEffect[]) => effects.flatMap(effect => effect.kind === 'recall' ? effect.to : [])
  const first = limitsStep(started(), listed)
  assert.deepEqual(asks(first.effects), ['h1', 'h2'])
  assert.deepEqual(asks(limitsStep(first.state, { ...listed, listedAtMs: 2000, nowMs: 2000 }).effects), [])
})

test('seats that were taken from others rest although the loans are recalled', () => {
  const events: readonly LimitsEvent[] = [
    { kind: 'confirmationChanged', confirmedUntilMs: Infinity, nowMs: startMs },
    { kind: 'manifestApplied', manifest, nowMs: startMs },
    { kind: 'hostsListed', hosts: ['h0'], listedAtMs: startMs, nowMs: startMs },
    { kind: 'seatsChanged', held: [0, 1], regained: new Set([0]), holders: new Map(), tableOfMs: 1100, nowMs: 1100 }
  ]
  const state = events.reduce((known, event) => limitsStep(known, event).state, initialLimits('h0', startMs))
  assert.deepEqual([usableAt(state, 1100).usable.ratePerS, usableAt(state, 1100 + seatQuietMs).usable.ratePerS], [25, 50])
})

test('a borrower drops what it holds, and an answer that is on its way is void', () => {
  const { state, freeInMs } = releaseLoans(account({ purpose: 'collect', ratePerS: 0 }), 'h1', startMs + 10)
  assert.equal(freeInMs, 0)
  assert.equal(state.usable.ratePerS, 50)
  assert.equal(state.lenders.get('h1')?.openUntilMs, undefined)
})

test('a borrower that lends on keeps what covers it and tells for how long', () => {
  const { state, freeInMs } = releaseLoans(account({ purpose: 'use', ratePerS: 60 }), 'h1', startMs + 10)
  assert.equal(freeInMs, 1990)
  assert.equal(state.usable.ratePerS, 20)
})

test('what was lent on for use is covered also once its borrower collects', () => {
  assert.equal(lendsOn(account({ purpose: 'collect', ratePerS: 60 })), true)
  const within = account({ purpose: 'collect', ratePerS: 40 })
  assert.ok(ownShare(within, within.atMs).ratePerS >= 40)
  assert.equal(lendsOn(within), false)
})

test('a late or repeated answer changes nothing', () => {
  const done = takeRecallAnswer(beginRecall(['h1'], startMs), 'h1', { freeInMs: 0, unusedMs: 50 }, 1100)
  assert.equal(takeRecallAnswer(done, 'h1', { freeInMs: 2000, unusedMs: 0 }, 1200), done)
  assert.equal(restsUntilMs(done, startMs), startMs)
})

test('a host that is not listed is lent nothing', () => {
  const state = started([{ kind: 'hostsListed', hosts: ['h0', 'h1'], listedAtMs: startMs, nowMs: startMs }, answered('h1', 0, 100, 1100)])
  const request = { account: 'mill', purpose: 'use', sequence: 1, held: { ratePerS: 0, capacity: 0 }, answered: 0, want: { ratePerS: 10, capacity: 10 }, wantTokens: 1, aheadTokens: 0, returnedTokens: 0, isUrgent: true } as const
  const grantTo = (from: string): unknown => limitsStep(state, { kind: 'borrowRequested', callId: 'c', from, incarnation: 'a', request, nowMs: 5000 }).effects.flatMap(effect => effect.kind === 'lend' ? [effect.grant] : [])[0]
  assert.equal(grantTo('h9'), undefined)
  assert.notEqual(grantTo('h1'), undefined)
})

test('after all hosts were killed and started again, accounts within their rates are served at once', () => {
  const fleet = limitFleet({ hosts: 18, seed: 1, manifest: accountsManifest(64, [{ name: 'mill', ratePerS: 90, burst: 90 }]) })
  const random = randomFrom(5)
  for (let atMs = 10_000; atMs < 25_000; atMs -= Math.log(1 - random()) * 1000 / 55) {
    const host = fleet.names[Math.floor(18 * random())] as string
    fleet.at(atMs, () => { fleet.ask(host, 'mill') })
  }
  for (const host of fleet.names) {
    fleet.at(20_000, () => { fleet.kill(host) })
    fleet.at(20_500, () => { fleet.restart(host) })
  }
  fleet.run(26_000)
  const after = fleet.verdicts.filter(({ askedMs }) => askedMs >= 20_750)
  const due = idealAdmissions(after, 'mill', 90, 90)
  assert.ok(capExceeded(fleet.verdicts, 'mill', 90, 90) <= 1e-6)
  assert.ok([...due].filter(({ isAdmitted }) => !isAdmitted).length <= 0.02 * due.size)
})
