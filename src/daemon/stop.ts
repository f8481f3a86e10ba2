// Planned stop of a proxy. Callers finish in the phases of stop-signal.ts, the other
// members take over the assignments, and links close only once no more statements
// arrive. Each wait has a bound, so that a caller or a call that takes long leaves
// time for the steps after it.

import { sleep, withTimeout } from '../pipe/index.js'
import type { Callers } from './callers.js'
import type { ProxyComponents } from './components.js'
import { stopSchedule, type StopSignal } from './stop-signal.js'

const drainPollMs = 20
/** Heartbeat periods without a statement before a stopping host closes its links. */
const minIdleHeartbeats = 2

/**
 * Stops a proxy without cutting off a request, within the grace time.
 * @param components - components of the proxy
 * @param callers - its callers
 * @param signal - the phase, which callers follow
 */
export async function stopComponents (components: ProxyComponents, callers: Callers, signal: StopSignal): Promise<void> {
  const { context, leaderTask, registry, members, limits, databases, links, store, reports } = components
  const { timers, settings } = context
  const startedAtMs = timers.nowMs()
  const schedule = stopSchedule(settings.stop.graceMs)
  const untilMs = (atMs: number): number => Math.max(0, startedAtMs + atMs - timers.nowMs())
  reports.event('stopping', { host: settings.host.name, callers: callers.count() })
  members.send({ kind: 'stopping', nowMs: timers.nowMs() })
  const unsubscribe = signal.subscribe(phase => { if (phase === 'rollingBack') rollBackTransactions(components) })
  signal.begin(timers, schedule)
  const leaseReleased = leaderTask?.releaseLease()
  await withTimeout(timers, untilMs(schedule.dispatchEndsAtMs), callers.drain())
  databases.stopAccepting()
  await withTimeout(timers, untilMs(schedule.dispatchEndsAtMs), announceStop(components))
  while (!isDrained(components) && untilMs(schedule.dispatchEndsAtMs) > 0) await sleep(timers, drainPollMs)
  await withTimeout(timers, untilMs(schedule.endsAtMs), leaseReleased ?? Promise.resolve())
  unsubscribe()
  // A host that registers itself keeps its entry and its quota partitions for its
  // next start, which follows soon; the others deregister a host that stays away.
  if (registry === undefined) limits.releasePartitions()
  if (callers.count() > 0) reports.event('stopOverdue', { host: settings.host.name, callers: callers.count() })
  callers.close()
  await withTimeout(timers, untilMs(schedule.endsAtMs), stopTasks(components))
  links.close()
  store.close()
  reports.event('stopped', { host: settings.host.name })
  timers.stop()
}

async function stopTasks ({ reports, databases, limits, members, configuration, eras, leaderTask, discovery, evacuation }: ProxyComponents): Promise<void> {
  await reports.stop()
  await Promise.all([databases.stop(), limits.stop(), members.stop(), configuration.stop(), eras.stop(), leaderTask?.stop(), discovery?.stop(), evacuation?.stop()])
}

// Also the transactions of callers of other hosts, which learn of it at their next
// statement. New work is refused from here on.
function rollBackTransactions ({ context, databases, reports }: ProxyComponents): void {
  databases.stopAccepting()
  const transactions = databases.rollBackTransactions()
  if (transactions > 0) reports.event('transactionsRolledBack', { host: context.settings.host.name, transactions })
}

// Notifies the other members at once that this host accepts no new assignments. A
// member that misses the call finds out when its statements are rejected.
async function announceStop (components: ProxyComponents): Promise<void> {
  const { settings } = components.context
  const others = components.members.view.get().live.filter(member => member.host !== settings.host.name)
  const calls = others.map(async ({ host }) => await components.links.call(host, 'heartbeat', components.localState(), settings.control.heartbeatMs))
  await Promise.allSettled(calls)
}

// True when nothing runs and no statement has arrived for a while. A statement in
// transit when the links close would have an unknown outcome.
function isDrained (components: ProxyComponents): boolean {
  const { timers, settings } = components.context
  const minIdleMs = settings.control.heartbeatMs * minIdleHeartbeats
  return components.databases.load() === 0 && timers.nowMs() - components.databases.lastRequestAtMs() >= minIdleMs
}
