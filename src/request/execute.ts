// Last filter: sends the statement to the dispatcher of a server and retries,
// where that is safe, until there is an answer or the deadline passes.

import type { TokenState } from '../admission/index.js'
import { anonymousAccount, belongsToTransaction, endsTransaction, notRun, unknownOutcome, type AccountName, type ExecuteReply, type ExecuteRequest, type ExecutionMode, type ReadConsistency, type NotRunReason, type Outcome, type ServerName, type StatementClass } from '../model/index.js'
import { end, uniqueIds, type Filter, type Unsubscribe } from '../pipe/index.js'
import type { ConsistencyResolved, RequestResult } from './message.js'
import { decideRetry, deadlineOutcome, triesNextAtOnce, type AttemptResult, type Repeatable } from './retry.js'
import { defaultRetryBudget, initialRetryBudget, takeRetry, withFirstAttempt } from './retry-budget.js'
import { chooseRoute, type Route } from './route.js'
import { ServerLoads } from './server-loads.js'
import { raiseMinPosition, type OpenTransaction, type SessionState } from './session.js'
import type { RequestBounds, RequestServices } from './services.js'
import { sendWithToken, type TokenResult } from './token.js'

/**
 * Upper bound of the delay before the second attempt; doubles with each
 * further one.
 */
const firstRetryDelayMs = 10
const maxRetryDelayMs = 160
/** Weight at the scheduler of callers without a key. */
const anonymousWeight = 1

const budgetUsedUp = 'the retry budget of this host is used up'
const callerLeft = 'the caller closed its connection'
/** Length of the prefix that tells the calls of this process from those of an earlier one. */
const callPrefixLength = 6

type Services = Pick<RequestServices, 'nowMs' | 'sleep' | 'routing' | 'execute' | 'cancel' | 'onRetry' | 'onAppliedPosition' | 'random' | 'admit' | 'dispatcherSupport' | 'onDelegationRefused'>

/** What the filter uses for all its statements. */
type Attempts = {
  readonly services: Services
  readonly bounds: RequestBounds
  readonly loads: ServerLoads
  readonly nextCallId: () => string
  readonly retries: Retries
}

/** Result of the attempts for one statement so far. */
type Progress = {
  readonly attempts: number
  /** Attempts that were sent; the others found no server to send to. */
  readonly sent: number
  readonly avoid: ReadonlySet<ServerName>
  readonly mayHaveRun: boolean
  readonly reason: NotRunReason
  readonly consistency: ReadConsistency
  readonly token: TokenState
}

/**
 * Creates the execution filter.
 * @param services - routing and execution
 * @param bounds - bounds and location of this host
 * @returns the filter, which always ends the pipe
 */
export function execute (services: Services, bounds: RequestBounds): Filter<ConsistencyResolved, never, RequestResult> {
  const retries = retriesOf(services, bounds)
  const attempts: Attempts = { services, bounds, loads: new ServerLoads(), nextCallId: uniqueIds(callPrefix(services.random())), retries }
  return async message => {
    const { transaction } = message.session
    if (transaction !== undefined) return end(await runInTransaction(attempts, message, transaction))
    return end(await runOutsideTransaction(attempts, message))
  }
}

/** The retry budget of this host. */
type Retries = {
  readonly addFirstAttempt: () => void
  /** Takes one retry from the budget; false where it is used up. */
  readonly take: () => boolean
}

function retriesOf (services: Services, bounds: RequestBounds): Retries {
  let budget = initialRetryBudget(bounds.retryBudget ?? defaultRetryBudget, services.nowMs())
  return {
    addFirstAttempt: () => { budget = withFirstAttempt(budget) },
    take () {
      const grant = takeRetry(budget, services.nowMs())
      budget = grant.budget
      services.onRetry?.(grant.isGranted ? 'made' : 'refused')
      return grant.isGranted
    }
  }
}

function callPrefix (random: number): string {
  return random.toString(36).slice(2, 2 + callPrefixLength)
}

async function runOutsideTransaction (attempts: Attempts, message: ConsistencyResolved): Promise<RequestResult> {
  const { services, bounds } = attempts
  const repeatable: Repeatable = isRepeatable(message.statement.statementClass) && !message.statement.hints.once ? 'yes' : 'no'
  let progress: Progress = { attempts: 0, sent: 0, avoid: new Set(), mayHaveRun: false, reason: 'deadlinePassed', consistency: message.consistency, token: message.token }
  for (;;) {
    const route = chooseRoute(routingInput(services, bounds, message, progress), services.routing(message.database.name))
    if (!mayAttempt(attempts, message, route, progress)) return withoutAnswer(message, progress)
    const mayBeSent = isWithinBudget(attempts, route, progress)
    if (!mayBeSent && progress.reason !== 'noPrimary') return withoutAnswer(message, progress, budgetUsedUp)
    const { attempt, token } = mayBeSent ? await attemptOnce(attempts, message, route, progress.token) : { attempt: waitForPrimary, token: progress.token }
    const decision = decideRetry(attempt, repeatable)
    if (decision.kind === 'answer') return statementResult(message, decision.outcome, route, attempt)
    progress = {
      attempts: progress.attempts + 1,
      sent: progress.sent + (route.kind === 'send' ? 1 : 0),
      avoid: decision.avoidServer && route.kind === 'send' ? avoidedAfter(progress.avoid, route.server, message.database.servers.length) : progress.avoid,
      mayHaveRun: progress.mayHaveRun || decision.mayHaveRun,
      reason: decision.reason,
      consistency: consistencyAfter(progress.consistency, attempt),
      token
    }
    const mustWait = needsDelay(message, decision.reason, progress)
    const delayMs = mustWait ? retryDelayMs(progress.attempts, services.random()) : 0
    if (services.nowMs() + delayMs >= message.statement.deadlineAtMs) return withoutAnswer(message, progress)
    if (mustWait) await services.sleep(delayMs)
  }
}

// Once all servers have been tried, all but the last one become eligible again.
function avoidedAfter (avoid: ReadonlySet<ServerName>, tried: ServerName, servers: number): ReadonlySet<ServerName> {
  const triedAll = new Set([...avoid, tried])
  return triedAll.size >= servers ? new Set([tried]) : triedAll
}

// A further attempt is made only if it is expected to end in time; the first one
// whenever the deadline has not passed, as some statements are far below the average.
function mayAttempt ({ services, loads }: Attempts, message: ConsistencyResolved, route: Route, progress: Progress): boolean {
  if (message.presence?.hasLeft() === true) return false
  const minAttemptMs = progress.attempts > 0 && route.kind === 'send' ? loads.minAttemptMs(route.server) : 0
  return services.nowMs() + minAttemptMs < message.statement.deadlineAtMs
}

// A begin may be repeated: the dispatcher rolls back a transaction that is never
// used.
function isRepeatable (statementClass: StatementClass): boolean {
  return statementClass.kind === 'read' || statementClass.kind === 'begin'
}

// Without budget, a statement that waits for a new primary goes on waiting and sends
// nothing: during a failover all writes wait, which is no overload.
const waitForPrimary: AttemptResult = { kind: 'noRoute', missing: 'primary' }

// Waiting for a primary sends nothing, so it needs no budget.
function isWithinBudget ({ retries }: Attempts, route: Route, progress: Progress): boolean {
  if (route.kind === 'none') return true
  if (progress.sent > 0) return retries.take()
  retries.addFirstAttempt()
  return true
}

function withoutAnswer (message: ConsistencyResolved, progress: Progress, detail?: string): RequestResult {
  const cause = message.presence?.hasLeft() === true ? callerLeft : detail
  return { outcome: deadlineOutcome(progress.reason, progress.mayHaveRun, cause), session: message.session }
}

function routingInput (services: Services, bounds: RequestBounds, message: ConsistencyResolved, progress: Progress): Parameters<typeof chooseRoute>[0] {
  const { statement, database } = message
  return {
    database,
    statementClass: statement.statementClass,
    consistency: progress.consistency,
    requestId: statement.hints.requestId,
    localFailureDomain: bounds.localFailureDomain,
    strongReadsAt: bounds.strongReadsAt,
    avoid: progress.avoid,
    tieBreaker: Math.floor(services.random() * database.servers.length * 1000),
    draws: { other: services.random(), move: services.random(), share: services.random() },
    nowMs: services.nowMs()
  }
}

// The token of the statement is taken with the attempt, here or at the dispatcher.
async function attemptOnce (attempts: Attempts, message: ConsistencyResolved, route: Route, token: TokenState): Promise<TokenResult> {
  if (route.kind === 'none') return { attempt: { kind: 'noRoute', missing: route.missing }, token }
  const use = { account: accountName(message), deadlineAtMs: message.statement.deadlineAtMs, dispatcher: route.dispatcher, token }
  return await sendWithToken(attempts.services, use, async takesToken => await sendTo(attempts, message, route, takesToken))
}

async function sendTo (attempts: Attempts, message: ConsistencyResolved, route: Extract<Route, { readonly kind: 'send' }>, takesToken: boolean | undefined): Promise<AttemptResult> {
  const { services, bounds, loads } = attempts
  const callId = attempts.nextCallId()
  const unsubscribe = cancelledOnLeave(attempts, message, route, callId)
  const attempt = await services.execute(route.dispatcher, {
    from: bounds.self,
    database: message.database.name,
    server: route.server,
    account: accountName(message),
    weight: message.account?.weight ?? anonymousWeight,
    statement: { id: message.statement.id, text: message.statement.text, prepared: message.prepared },
    values: message.session.values,
    mode: route.mode,
    remainingMs: message.statement.deadlineAtMs - services.nowMs(),
    takesToken,
    callId,
    callerSession: needsOwner(route.mode) ? message.session.id : undefined,
    ...urgencyOf(message, services.nowMs())
  })
  unsubscribe?.()
  if (attempt.kind === 'replied') loads.record(route.dispatcher, route.server, attempt.reply.serverLoad)
  if (attempt.kind === 'replied' && attempt.reply.applied !== undefined) services.onAppliedPosition(route.server, attempt.reply.applied)
  return attempt
}

// Where the caller leaves while its statement waits at the dispatcher, the statement is
// dropped. The end of a transaction is not: it releases locks.
function cancelledOnLeave ({ services, bounds, loads }: Attempts, message: ConsistencyResolved, route: Extract<Route, { readonly kind: 'send' }>, callId: string): Unsubscribe | undefined {
  if (endsTransaction(route.mode)) return undefined
  return message.presence?.onLeave(() => {
    if (loads.takesCancel(route.dispatcher)) services.cancel?.(route.dispatcher, { from: bounds.self, database: message.database.name, server: route.server, callId })
  })
}

function needsOwner (mode: ExecutionMode): boolean {
  return mode.kind === 'begin' || belongsToTransaction(mode)
}

// What the scheduler of the server orders the statement by; none without a policy.
function urgencyOf ({ route, statement }: ConsistencyResolved, nowMs: number): Pick<ExecuteRequest, 'priority' | 'goalLeftMs'> {
  const { policy } = route
  return policy === undefined ? {} : { priority: policy.priority, goalLeftMs: statement.receivedAtMs + policy.goalMs - nowMs }
}

// The dispatcher queried the minimum position of a strong read after the
// statement came in, so any server that covers it may serve the read and no
// further query is needed.
function consistencyAfter (consistency: ReadConsistency, attempt: AttemptResult): ReadConsistency {
  const newest = attempt.kind === 'replied' ? attempt.reply.newest : undefined
  return newest === undefined || consistency.kind !== 'newest' ? consistency : { kind: 'floor', position: newest }
}

function accountName (message: ConsistencyResolved): AccountName {
  return message.account?.name ?? anonymousAccount
}

// Writes have no other server than the primary, so they wait for it.
function needsDelay (message: ConsistencyResolved, reason: NotRunReason, progress: Progress): boolean {
  const { statementClass } = message.statement
  const mayUseReplicas = statementClass.kind === 'read' || (statementClass.kind === 'begin' && statementClass.access === 'read')
  return !triesNextAtOnce(reason, progress.attempts, mayUseReplicas ? message.database.servers.length : 1)
}

/**
 * Computes the retry delay: exponential back-off with full jitter.
 * @param attempts - number of attempts so far, at least 1
 * @param random - a random number from 0 up to, not including, 1
 * @returns the delay in milliseconds
 */
export function retryDelayMs (attempts: number, random: number): number {
  const bound = Math.min(maxRetryDelayMs, firstRetryDelayMs * 2 ** (attempts - 1))
  return random * bound
}

function statementResult (message: ConsistencyResolved, outcome: Outcome, route: Route, attempt: AttemptResult): RequestResult {
  const raised = withMinPosition(message.session, message.database.name, message.statement.statementClass.kind === 'read' ? undefined : outcome)
  if (outcome.kind !== 'answered' || route.kind !== 'send' || attempt.kind !== 'replied') return { outcome, session: raised }
  const { transaction } = attempt.reply
  if (transaction === undefined) return { outcome, session: raised }
  const open: OpenTransaction = { id: transaction, database: message.database.name, server: route.server, dispatcher: route.dispatcher, account: accountName(message), callerSession: message.session.id, route: message.route, state: 'open' }
  return { outcome, session: { ...raised, transaction: open } }
}

function withMinPosition (session: SessionState, database: string, outcome: Outcome | undefined): SessionState {
  if (outcome?.kind !== 'answered' || outcome.position === undefined) return session
  return raiseMinPosition(session, database, outcome.position)
}

async function runInTransaction (attempts: Attempts, message: ConsistencyResolved, transaction: OpenTransaction): Promise<RequestResult> {
  const { statementClass } = message.statement
  if (transaction.state !== 'open') return lostTransactionResult(message, transaction, statementClass.kind)
  if (statementClass.kind === 'begin') return { outcome: notRun('unsupported', 'a transaction is already open'), session: message.session }
  const mode = transactionMode(statementClass, transaction)
  // The task of the connection rolls the transaction back.
  if (message.presence?.hasLeft() === true && !endsTransaction(mode)) return { outcome: deadlineOutcome('deadlinePassed', false, callerLeft), session: message.session }
  const route: Route = { kind: 'send', server: transaction.server, dispatcher: transaction.dispatcher, mode }
  const { attempt } = await attemptOnce(attempts, message, route, message.token)
  return transactionResult(message, transaction, mode, attempt)
}

function lostTransactionResult (message: ConsistencyResolved, transaction: OpenTransaction, kind: string): RequestResult {
  if (kind !== 'rollback' && kind !== 'commit') return { outcome: notRun('transactionLost', 'the transaction was lost and rolled back'), session: { ...message.session, transaction: { ...transaction, state: 'failed' } } }
  const session = { ...message.session, transaction: undefined }
  if (kind === 'commit') return { outcome: notRun('transactionLost', 'the transaction was lost and rolled back'), session }
  return { outcome: { kind: 'answered', answer: { kind: 'done', affectedRows: 0, insertId: 0 }, position: undefined, servedBy: 'proxy' }, session }
}

function transactionMode (statementClass: StatementClass, transaction: OpenTransaction): ExecutionMode {
  switch (statementClass.kind) {
    case 'commit': return { kind: 'commit', transaction: transaction.id }
    case 'rollback': return { kind: 'rollback', transaction: transaction.id }
    case 'read':
    case 'write':
    case 'define':
    case 'begin':
    case 'readToken':
    case 'setToken':
    case 'setDefault':
    case 'setValue':
    case 'prepare':
    case 'deallocate':
    case 'executePrepared':
    case 'malformed':
    case 'unsupported': return { kind: 'inTransaction', transaction: transaction.id }
  }
}

function transactionResult (message: ConsistencyResolved, transaction: OpenTransaction, mode: ExecutionMode, attempt: AttemptResult): RequestResult {
  const ended = { ...message.session, transaction: undefined }
  const lost: SessionState = { ...message.session, transaction: { ...transaction, state: 'failed' } }
  switch (attempt.kind) {
    case 'replied': return replyResult(message, transaction, mode, attempt.reply)
    case 'refused': return { outcome: attempt.outcome, session: message.session }
    case 'unsent':
    case 'noRoute': return { outcome: notRun('transactionLost', 'the transaction was lost and is rolled back'), session: mode.kind === 'inTransaction' ? lost : ended }
    case 'lost': {
      // A lost COMMIT may have taken effect; any other lost statement is rolled back
      // with its transaction.
      if (mode.kind === 'commit') return { outcome: unknownOutcome('connectionLost', 'the connection was lost while the transaction committed'), session: ended }
      return { outcome: notRun('transactionLost', 'the transaction was lost and is rolled back'), session: mode.kind === 'inTransaction' ? lost : ended }
    }
  }
}

function replyResult (message: ConsistencyResolved, transaction: OpenTransaction, mode: ExecutionMode, reply: ExecuteReply): RequestResult {
  const { outcome } = reply
  const raised = withMinPosition(message.session, transaction.database, outcome)
  if (endsTransaction(mode)) return { outcome, session: { ...raised, transaction: undefined } }
  const isLost = outcome.kind === 'unknown' || (outcome.kind === 'notRun' && outcome.reason === 'transactionLost')
  if (!isLost) return { outcome, session: message.session }
  return { outcome: notRun('transactionLost', 'the transaction was lost and is rolled back'), session: { ...message.session, transaction: { ...transaction, state: 'failed' } } }
}
