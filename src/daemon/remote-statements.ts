// Runs statements at the dispatchers of their servers: on this host directly, on
// another one over its peer link.

import type { ExecuteReply, ExecuteRequest, HostName, PeerParams } from '../model/index.js'
import { asWireError } from '../ports/index.js'
import type { AttemptResult, OpenTransaction } from '../request/index.js'
import type { ProxyComponents } from './components.js'

/**
 * Time after a statement's deadline in which the dispatcher's answer is still
 * awaited.
 */
const answerMarginMs = 250
const rollBackTimeoutMs = 1000
const cancelTimeoutMs = 1000

/**
 * Runs a statement at a dispatcher and records what its reply tells of the primary and
 * of the server.
 * @param components - the components of this proxy
 * @param dispatcher - host of the dispatcher
 * @param request - the statement
 * @returns the result of the attempt
 */
export async function executeAt (components: ProxyComponents, dispatcher: HostName, request: ExecuteRequest): Promise<AttemptResult> {
  const { nowMs } = components.context.timers
  const sentAtMs = nowMs()
  recordSent(components, request)
  const attempt = await attemptAt(components, dispatcher, request)
  const change = components.routing.recordAttempt(request, attempt, { sentAtMs, endedAtMs: nowMs() })
  components.reports.recordEjection(request.database, change)
  return attempt
}

function recordSent ({ routing, reports, context }: ProxyComponents, request: ExecuteRequest): void {
  const { role, failureDomain } = routing.placeOf(request.database, request.server)
  reports.recordSent(request.server, role, failureDomain === context.settings.host.failureDomain ? 'local' : 'other')
}

async function attemptAt (components: ProxyComponents, dispatcher: HostName, request: ExecuteRequest): Promise<AttemptResult> {
  try {
    const reply = await callDispatcher(components, dispatcher, request)
    components.routing.recordPrimary(reply.primary)
    if (request.takesToken !== undefined) components.peerSupport.record({ kind: 'replied', host: dispatcher, tookToken: reply.tookToken, nowMs: components.context.timers.nowMs() })
    if (isStopping(reply)) components.members.send({ kind: 'linkFailed', host: dispatcher, nowMs: components.context.timers.nowMs() })
    return { kind: 'replied', reply }
  } catch (error) {
    return asWireError(error).failure === 'refused' ? { kind: 'unsent' } : { kind: 'lost' }
  }
}

// Where this host is the dispatcher itself, no link is used.
async function callDispatcher (components: ProxyComponents, dispatcher: HostName, request: ExecuteRequest): Promise<ExecuteReply> {
  if (dispatcher === components.context.settings.host.name) return await components.databases.execute(request)
  return await components.links.call(dispatcher, 'execute', request, request.remainingMs + answerMarginMs)
}

/**
 * Tells a dispatcher that a statement is no longer needed. Where the call is lost, the
 * statement is dropped at its deadline.
 * @param components - the components of this proxy
 * @param dispatcher - host of the dispatcher
 * @param call - the statement
 */
export function cancelAt (components: ProxyComponents, dispatcher: HostName, call: PeerParams<'cancel'>): void {
  if (dispatcher === components.context.settings.host.name) components.databases.cancel(call)
  else components.links.call(dispatcher, 'cancel', call, cancelTimeoutMs).catch(() => {})
}

// `linkFailed` starts an exchange of heartbeats, which shows at once that the
// dispatcher's host is stopping, so that another host takes over.
function isStopping (reply: ExecuteReply): boolean {
  return reply.outcome.kind === 'notRun' && reply.outcome.reason === 'stopping'
}

/**
 * Rolls back a transaction at its dispatcher; a lost one is rolled back by itself.
 * @param components - the components of this proxy
 * @param transaction - the transaction
 */
export async function rollBack (components: ProxyComponents, transaction: OpenTransaction): Promise<void> {
  const request: ExecuteRequest = {
    from: components.context.settings.host.name,
    database: transaction.database,
    server: transaction.server,
    account: transaction.account,
    weight: 1,
    statement: { id: undefined, text: 'ROLLBACK', prepared: undefined },
    values: {},
    mode: { kind: 'rollback', transaction: transaction.id },
    remainingMs: rollBackTimeoutMs,
    callerSession: transaction.callerSession
  }
  await executeAt(components, transaction.dispatcher, request)
}
