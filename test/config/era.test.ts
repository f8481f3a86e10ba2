// The configuration while the store returns from a copy.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { canServeAuthenticated, configurationStep, generationInForce, initialConfiguration, type ConfigurationEvent, type ConfigurationState } from '../../src/config/index.js'
import { manifestOf } from './fixtures.js'

const confirmWithinMs = 1000
const hosts = ['host-0', 'host-1', 'host-2', 'host-3', 'host-4']
const lost = 7
const copied = 5

function storeAnswered (generation: number, era: number, askedAtMs: number): ConfigurationEvent {
  return { kind: 'storeAnswered', accepted: { generation, manifest: manifestOf({}) }, era, askedAtMs }
}

function peerConfirmed (host: string, generation: number, askedAtMs: number, agoMs?: number): ConfigurationEvent {
  return { kind: 'peerConfirmed', host, generation, storeConfirmedAgoMs: agoMs, askedAtMs, nowMs: askedAtMs + 5 }
}

function started (): ConfigurationState {
  const initial = initialConfiguration({ host: 'host-0', startedAtMs: 0, confirmWithinMs, pullMs: 100 })
  return configurationStep(initial, { kind: 'quorumChanged', hosts }).state
}

function after (state: ConfigurationState, ...events: readonly ConfigurationEvent[]): ConfigurationState {
  return events.reduce((current, event) => configurationStep(current, event).state, state)
}

// Guards against a withdrawn key that works again at a host that starts right after the restore.
test('a host that starts after a restore serves by the store only once a majority has reported its generation', () => {
  const alone = after(started(), storeAnswered(copied, 1, 10), peerConfirmed('host-1', copied, 20))
  assert.equal(canServeAuthenticated(alone, 30), false)
  assert.equal(canServeAuthenticated(after(alone, peerConfirmed('host-2', copied, 30)), 40), true)
  const newer = after(alone, peerConfirmed('host-2', lost, 30))
  assert.equal(canServeAuthenticated(newer, 40), false)
  assert.deepEqual(configurationStep(started(), storeAnswered(copied, 1, 10)).effects.map(({ kind }) => kind), ['apply', 'queryPeers'])
})

// Guards against a fleet that serves nobody after all hosts have been replaced.
test('hosts that all start after a restore serve by the copy, also where the majority stays away', () => {
  const fresh = hosts.slice(1, 3).map(host => peerConfirmed(host, 0, 20))
  assert.equal(canServeAuthenticated(after(started(), storeAnswered(copied, 1, 10), ...fresh), 40), true)
  const lonely = after(started(), storeAnswered(copied, 1, 10), storeAnswered(copied, 1, 10 + 5 * confirmWithinMs))
  assert.equal(canServeAuthenticated(lonely, 20 + 5 * confirmWithinMs), true)
})

test('the confirmation of a host in the newest configuration goes on by its peers while the store has the older one', () => {
  const before = after(started(), storeAnswered(lost, 0, 0), storeAnswered(copied, 1, 500), ...hosts.slice(1, 4).map(host => peerConfirmed(host, lost, 900)))
  assert.equal(generationInForce(before), lost)
  assert.equal(canServeAuthenticated(before, 1800), true)
})

type Step = { readonly kind: 'store' | 'peer' | 'offer', readonly at: number, readonly isConfirmed: boolean }
const steps = fc.array(fc.record({ kind: fc.constantFrom('store' as const, 'store' as const, 'peer' as const, 'offer' as const), at: fc.integer({ min: 1, max: 4 }), isConfirmed: fc.boolean() }), { maxLength: 40 })

/** Three of the four others hold the configuration that the store has lost; the fourth has had no confirmation since. */
function eventOf ({ kind, at, isConfirmed }: Step, nowMs: number): ConfigurationEvent {
  const generation = at < 4 ? lost : copied
  switch (kind) {
    case 'store': return storeAnswered(copied, 1, nowMs)
    case 'peer': return peerConfirmed(hosts[at] ?? '', generation, nowMs, isConfirmed && generation === lost ? 100 : undefined)
    case 'offer': return { kind: 'peerOffered', accepted: { generation, manifest: manifestOf({}) } }
  }
}

test('in any order of answers a host never goes back, and one that starts after a restore serves no older configuration', () => {
  fc.assert(fc.property(steps, fc.boolean(), (plan, isOld) => {
    let state = isOld ? after(started(), storeAnswered(lost, 0, 0)) : started()
    let highest = generationInForce(state)
    for (const [index, step] of plan.entries()) {
      const nowMs = 10 + index * 50
      state = configurationStep(state, eventOf(step, nowMs)).state
      assert.ok(generationInForce(state) >= highest)
      highest = generationInForce(state)
      if (canServeAuthenticated(state, nowMs + 5) && step.at < 4) assert.equal(highest, lost, `served by ${highest} at ${nowMs}`)
    }
  }), { numRuns: 1000 })
})
