// The platform's store is down and demand is skewed: each account's callers
// all come through two proxies. Gives the refusals within rate.

import { correctnessFigures, faultNotes, runJudgedLoad } from './judged-load.js'
import { atMost, plain, type MeasureResult } from './measure.js'
import { latencyFigures, usualLoad, usualSessions, verdictNote, wronglyRefused, type MeasureSpec } from './measure-steady.js'
import { judgeAccount } from './rate-oracle.js'
import { setTimeout as delay } from 'node:timers/promises'

const entryProxies = 2
/** Time that the store has been down before the load begins. */
const downBeforeMs = 3000
const statementsEach = 1.1
const percentOf = 100

/**
 * Measures refusals while the store is down.
 * @param spec - deployment, rig, seed and time
 * @returns the figures
 */
export async function measureStoreOutage (spec: MeasureSpec): Promise<MeasureResult> {
  const { deployment, rig } = spec
  const last = rig.entrances.length - 1
  await rig.set.platform.faults({ down: true })
  await delay(downBeforeMs)
  const load = await runJudgedLoad({
    rig,
    seed: spec.seed,
    durationMs: spec.durationMs,
    demands: deployment.accounts.map(account => ({ account: account.name, ratePerS: account.ratePerS * usualLoad / statementsEach })),
    entries: Array.from({ length: entryProxies }, (_, at) => Math.max(0, last - at)),
    roaming: 0.1,
    sessionsEach: usualSessions,
    collectPlaces: false,
    servers: () => rig.set.servers
  })
  await rig.set.platform.faults({ down: false })
  const verdicts = deployment.accounts.map(account => judgeAccount({ account: account.name, ratePerS: account.ratePerS, burst: account.burst }, load.history))
  const sum = (of: (verdict: typeof verdicts[number]) => number): number => verdicts.reduce((total, verdict) => total + of(verdict), 0)
  return {
    measure: 'storeOutage',
    figures: [
      ...correctnessFigures(load),
      atMost('refusals within rate', '%', percentOf * sum(wronglyRefused) / load.history.length, 1),
      plain('refused by the rate limit within rate', '%', percentOf * sum(verdict => verdict.wrongfulRefusals) / load.history.length),
      plain('not run for other reasons', '%', percentOf * sum(verdict => verdict.otherNotRun) / load.history.length),
      atMost('statements admitted beyond rate and burst', '', Math.max(...verdicts.map(verdict => verdict.overCap)), 0),
      ...latencyFigures(load.history)
    ],
    series: [],
    notes: [...faultNotes(load), ...verdicts.map(verdictNote)]
  }
}
