// Measures an outage of the platform's store under skewed demand: all callers
// use the same two proxies. Gives the rejections within the rate.

import { correctnessFigures, violationNotes, runCheckedLoad } from './checked-load.js'
import { atMost, withoutTarget, type MeasureResult } from './measure.js'
import { latencyFigures, normalLoadFraction, normalSessionsPerGroup, accountNote, wronglyRejected, type MeasureSpec } from './measure-steady.js'
import { checkAccount } from './rate-oracle.js'
import { setTimeout as delay } from 'node:timers/promises'

const entryProxyCount = 2
/** Time between the start of the outage and the start of the load. */
const outageLeadMs = 3000
const meanStatementsPerOperation = 1.1
const percentOf = 100

/**
 * Measures rejections while the store is down.
 * @param spec - deployment, rig, seed and duration
 * @returns figures of the measure
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
  const sum = (of: (result: typeof accountResults[number]) => number): number => accountResults.reduce((total, result) => total + of(result), 0)
  return {
    measure: 'storeOutage',
    figures: [
      ...correctnessFigures(load),
      atMost('rejections within the rate', '%', percentOf * sum(wronglyRejected) / load.history.length, 1),
      withoutTarget('rejected by the rate limit within the rate', '%', percentOf * sum(result => result.wrongRejections) / load.history.length),
      withoutTarget('not run for other reasons', '%', percentOf * sum(result => result.otherNotRun) / load.history.length),
      atMost('statements admitted above rate and burst', '', Math.max(...accountResults.map(result => result.overLimit)), 0),
      ...latencyFigures(load.history)
    ],
    series: [],
    notes: [...violationNotes(load), ...accountResults.map(accountNote)]
  }
}
