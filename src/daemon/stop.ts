// A planned stop: callers finish, the other members take over, and links close
// only once nobody sends work any more.

import { sleep, withTimeout } from '../pipe/index.js'
import type { Callers } from './callers.js'
import type { ProxyComponents } from './components.js'

const drainPollMs = 20
/** A stopping host waits for this many heartbeat periods without a statement. */
const quietHeartbeats = 2

// Callers finish first, while this host still works for others; then its
// duties have moved, because its heartbeats say that it is stopping.
/**
 * Stops a proxy without cutting off a request, within the grace time.
 * @param parts - the parts of the proxy
 * @param callers - its callers
 */
export async function stopComponents (parts: ProxyComponents, callers: Callers): Promise<void> {
  const { context, leaderTask: duty, discovery, registry, members, limits, databases, configuration, links, store, reports } = parts
  const { timers, settings } = context
  const startedAtMs = timers.nowMs()
  const leftMs = (): number => Math.max(1, settings.stop.graceMs - (timers.nowMs() - startedAtMs))
  reports.event('stopping', { host: settings.host.name, callers: callers.count() })
  members.send({ kind: 'stopping', nowMs: timers.nowMs() })
  await withTimeout(timers, leftMs(), callers.drain())
  await duty?.releaseLease()
  databases.stopAccepting()
  await tellMembers(parts)
  while (!isQuiet(parts) && leftMs() > 1) await sleep(timers, drainPollMs)
  // A host that registers itself keeps its entry and its seats for its next start, which follows soon; the others forget one that stays away.
  if (registry === undefined) limits.releasePartitions()
  if (callers.count() > 0) reports.event('stopOverdue', { host: settings.host.name, callers: callers.count() })
  callers.close()
  await reports.stop()
  await Promise.all([databases.stop(), limits.stop(), members.stop(), configuration.stop(), duty?.stop(), discovery?.stop()])
  links.close()
  store.close()
  reports.event('stopped', { host: settings.host.name })
  timers.stop()
}

// The others learn at once that this host takes no new duties; who does not
// answer learns it from the refusals of its statements.
async function tellMembers (parts: ProxyComponents): Promise<void> {
  const { settings } = parts.context
  const others = parts.members.view.get().live.filter(member => member.host !== settings.host.name)
  const told = others.map(async ({ host }) => await parts.links.call(host, 'heartbeat', parts.localState(), settings.control.heartbeatMs))
  await Promise.allSettled(told)
}

// Nothing runs, and nobody has sent a statement for a while: a statement that is
// on its way when the links close would have an unknown outcome.
function isQuiet (parts: ProxyComponents): boolean {
  const { timers, settings } = parts.context
  const quietMs = settings.control.heartbeatMs * quietHeartbeats
  return parts.databases.load() === 0 && timers.nowMs() - parts.databases.lastRequestAtMs() >= quietMs
}
