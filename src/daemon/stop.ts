// Planned stop of a proxy: callers finish, the other members take over the
// assignments, and links close only once no more statements arrive.

import { sleep, withTimeout } from '../pipe/index.js'
import type { Callers } from './callers.js'
import type { ProxyComponents } from './components.js'

const drainPollMs = 20
/** Heartbeat periods without a statement before a stopping host closes its links. */
const minIdleHeartbeats = 2

// Callers finish first, while this host still runs statements for others. By then
// its assignments have moved, because its heartbeats report that it is stopping.
/**
 * Stops a proxy without cutting off a request, within the grace time.
 * @param components - components of the proxy
 * @param callers - its callers
 */
export async function stopComponents (components: ProxyComponents, callers: Callers): Promise<void> {
  const { context, leaderTask, discovery, registry, members, limits, databases, configuration, links, store, reports } = components
  const { timers, settings } = context
  const startedAtMs = timers.nowMs()
  const remainingMs = (): number => Math.max(1, settings.stop.graceMs - (timers.nowMs() - startedAtMs))
  reports.event('stopping', { host: settings.host.name, callers: callers.count() })
  members.send({ kind: 'stopping', nowMs: timers.nowMs() })
  await withTimeout(timers, remainingMs(), callers.drain())
  await leaderTask?.releaseLease()
  databases.stopAccepting()
  await announceStop(components)
  while (!isDrained(components) && remainingMs() > 1) await sleep(timers, drainPollMs)
  // A host that registers itself keeps its entry and its quota partitions for its
  // next start, which follows soon; the others deregister a host that stays away.
  if (registry === undefined) limits.releasePartitions()
  if (callers.count() > 0) reports.event('stopOverdue', { host: settings.host.name, callers: callers.count() })
  callers.close()
  await reports.stop()
  await Promise.all([databases.stop(), limits.stop(), members.stop(), configuration.stop(), leaderTask?.stop(), discovery?.stop()])
  links.close()
  store.close()
  reports.event('stopped', { host: settings.host.name })
  timers.stop()
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
