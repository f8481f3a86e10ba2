import assert from 'node:assert/strict'
import { test } from 'node:test'
import { chooseOption, initialHealth, readShare, recordOutcome, type DatabaseHealth, type EjectionChange, type RouteOption } from '../../src/routing/index.js'

const servers = ['s1', 's2', 's3']

type Run = { readonly health: DatabaseHealth, readonly changes: readonly EjectionChange[] }

/** Records one outcome every 100 ms; each letter is one, `f` for a failure. */
function run (server: string, results: string, fromMs = 0, before: DatabaseHealth = initialHealth, active = servers): Run {
  let health = before
  const changes: EjectionChange[] = []
  for (const [at, result] of [...results].entries()) {
    const next = recordOutcome(health, active, { server, result: result === 'f' ? 'failed' : 'served', nowMs: fromMs + at * 100 })
    health = next.health
    if (next.change.kind !== 'none') changes.push(next.change)
  }
  return { health, changes }
}

function optionsFor (health: DatabaseHealth, names: readonly string[], nowMs: number): readonly RouteOption[] {
  return names.map(server => ({ server, dispatcher: `${server}-host`, isLocal: server === 's2', isPrimary: server === 's1', waitMs: 0, share: readShare(health, server, nowMs) }))
}

test('a server whose statements fail is ejected, one that fails now and then is not', () => {
  assert.equal(run('s2', 'sssfsssfsssfsssf').changes.length, 0)
  assert.equal(run('s2', 'ff').changes.length, 0)
  const { changes, health } = run('s2', 'ffff')
  assert.deepEqual(changes.map(({ kind }) => kind), ['ejected'])
  assert.equal(chooseOption(optionsFor(health, servers, 500), 0, { other: 0, move: 1, share: 0 })?.server, 's3')
})

// Guards against ejections that leave no server to serve.
test('at most one server is ejected, and never the only one that may serve', () => {
  const one = run('s2', 'ffff')
  const both = run('s3', 'ffffffff', 400, one.health)
  assert.deepEqual(both.changes, [])
  assert.deepEqual(run('s2', 'ffffffff', 0, initialHealth, ['s2']).changes, [])
  assert.equal(chooseOption(optionsFor(one.health, ['s2'], 500), 0, { other: 0, move: 0, share: 0.9 })?.server, 's2')
})

// Guards against a flood of statements to a server that has just recovered.
test('an ejected server returns with a small share of the reads that grows', () => {
  const { health } = run('s2', 'ffff')
  const shares = [500, 1400, 3400, 8400, 12_000].map(nowMs => readShare(health, 's2', nowMs))
  assert.equal(shares[0], 0)
  assert.ok(shares.every((share, at) => at === 0 || share > (shares[at - 1] as number)), shares.join(' '))
  assert.ok((shares[1] as number) < 0.05 && shares[4] === 1)
  assert.deepEqual(run('s2', 's', 12_000, health).changes, [{ kind: 'returned', server: 's2' }])
})

test('a server that fails again while it returns is ejected for longer each time', () => {
  let health = run('s2', 'ffff').health
  for (const expectedMs of [2000, 4000, 8000, 16_000, 30_000, 30_000]) {
    const { sinceMs, pauseMs } = health.ejection ?? { sinceMs: 0, pauseMs: 0 }
    // Answers to statements that were sent before the ejection do not count.
    assert.deepEqual(run('s2', 'ff', sinceMs + 10, health).changes, [])
    health = run('s2', 'f', sinceMs + pauseMs + 1000, health).health
    assert.equal(health.ejection?.pauseMs, expectedMs)
  }
})
