// The platform's store is down and demand is skewed: each account's callers
// all come through two proxies. Gives the refusals within rate.

import { correctnessFigures, violationNotes, runCheckedLoad } from './checked-load.js'
import { atMost, withoutTarget, type MeasureResult } from './measure.js'
import { latencyFigures, normalLoadFraction, normalSessionsPerGroup, accountNote, wronglyRejected, type MeasureSpec } from './measure-steady.js'
import { checkAccount } from './rate-oracle.js'
import { setTimeout as delay } from 'node:timers/promises'

const entryProxyCount = 2
/** Time that the store has been down before the load begins. */
const outageLeadMs = 3000
const meanStatementsPerOperation = 1.1
const percentOf = 100

/**
 * Measures refusals while the store is down.
 * @param spec - deployment, rig, seed and time
 * @returns the figures
 */
export async function measureStoreOutage (spec: MeasureSpec): Promise<MeasureResult> {
  const { deployment, rig } = spec
  const last = rig.callerAddresses.length - 1
  await rig.set.platform.faults({ down: true })
  await delay(outageLeadMs)
  const load = await runCheckedLoad({
    rig,
    seed: spec.seed,
    durationMs: spec.durationMs,
    demands: deployment.accounts.map(account => ({ account: account.name, ratePerS: account.ratePerS * normalLoadFraction / meanStatementsPerOperation })),
    entryProxies: Array.from({ length: entryProxyCount }, (_, at) => Math.max(0, last - at)),
    roamingFraction: 0.1,
    sessionsPerGroup: normalSessionsPerGroup,
    recordsReadServers: false,
    servers: () => rig.set.servers
  })
  await rig.set.platform.faults({ down: false })
  const accountResults = deployment.accounts.map(account => checkAccount({ account: account.name, ratePerS: account.ratePerS, burst: account.burst }, load.history))
  const sum = (of: (verdict: typeof accountResults[number]) => number): number => accountResults.reduce((total, verdict) => total + of(verdict), 0)
  return {
    measure: 'storeOutage',
    figures: [
      ...correctnessFigures(load),
      atMost('refusals within rate', '%', percentOf * sum(wronglyRejected) / load.history.length, 1),
      withoutTarget('refused by the rate limit within rate', '%', percentOf * sum(verdict => verdict.wrongRejections) / load.history.length),
      withoutTarget('not run for other reasons', '%', percentOf * sum(verdict => verdict.otherNotRun) / load.history.length),
      atMost('statements admitted beyond rate and burst', '', Math.max(...accountResults.map(verdict => verdict.overLimit)), 0),
      ...latencyFigures(load.history)
    ],
    series: [],
    notes: [...violationNotes(load), ...accountResults.map(accountNote)]
  }
}
