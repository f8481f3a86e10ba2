// Callers of this host: listens for connections, decides logins and starts a task
// for each accepted connection.

import { authenticate, redactKeys } from '../config/index.js'
import { notRun, type Caller, type IncomingStatement, type Outcome, type RouteName } from '../model/index.js'
import type { Filter } from '../pipe/index.js'
import { openSessionState, type ConfigurationInForce, type Incoming, type OpenTransaction, type RequestResult } from '../request/index.js'
import type { CallerConnection, CallerListener, LoginRequest } from '../ports/index.js'
import { decodeToken } from '../wire/session-token.js'
import type { DaemonContext } from './context.js'
import { serveCaller } from './caller-task.js'
import type { GuardTask } from './guard-task.js'
import type { StopSignal } from './stop-signal.js'

/** Connection attribute that carries a session token. */
const tokenAttribute = 'limpetmoor_session'

/** Dependencies of the callers' component. */
export type CallersSpec = {
  readonly context: DaemonContext
  readonly pipe: Filter<Incoming, never, RequestResult>
  readonly configuration: () => ConfigurationInForce
  /** Whether this host accepts new callers. */
  readonly isReady: () => boolean
  readonly stopSignal: StopSignal
  readonly guard: GuardTask
  readonly rollBack: (transaction: OpenTransaction) => Promise<void>
  readonly onServed: (statement: IncomingStatement, outcome: Outcome, tookMs: number) => void
  readonly onLoginRefused: (user: string, route: RouteName, outcome: Outcome) => void
}

/** The running callers' component. */
export type Callers = {
  readonly port: number
  readonly count: () => number
  /** Accepts no new connection, and waits until the sessions have closed in the phases of the stop. */
  readonly drain: () => Promise<void>
  /** Closes the connections that are still open. */
  readonly close: () => void
}

/**
 * Starts to serve callers.
 * @param spec - dependencies of the component
 * @returns the running component; throws a `WireError` where the port is taken
 */
export async function startCallers (spec: CallersSpec): Promise<Callers> {
  const { settings, timers, ports } = spec.context
  const open = new Map<CallerConnection, Promise<void>>()
  const onCaller = (connection: CallerConnection, caller: Caller): void => {
    const minPositions = decodeToken(connection.login.attributes[tokenAttribute] ?? '')
    const served = serveCaller({
      connection,
      session: openSessionState(spec.context.uniqueId(), caller, connection.login.route, minPositions),
      pipe: spec.pipe,
      rules: ports.frontEnd.rules,
      nowMs: timers.nowMs,
      configuration: spec.configuration,
      stopSignal: spec.stopSignal,
      rollBack: spec.rollBack,
      releaseKept: bytes => { spec.guard.kept.change(bytes, -bytes) },
      onServed: spec.onServed
    })
    open.set(connection, served)
    void served.catch(spec.context.onTaskError('caller')).finally(() => {
      open.delete(connection)
      connection.close()
    })
  }
  const listener: CallerListener = await ports.frontEnd.listen({
    address: settings.listen.callers,
    guard: spec.guard.connections,
    maxStatementBytes: settings.limits.maxStatementBytes,
    isReady: spec.isReady,
    decideLogin: login => decideLogin(spec, login),
    onCaller
  })
  return {
    port: listener.port,
    count: () => open.size,
    async drain () {
      listener.stopAccepting()
      await Promise.allSettled([...open.values()])
    },
    close () {
      for (const connection of open.keys()) connection.close()
    }
  }
}

type LoginResult =
  | { readonly kind: 'granted', readonly caller: Caller }
  | { readonly kind: 'refused', readonly outcome: Outcome }

function decideLogin (spec: CallersSpec, login: LoginRequest): LoginResult {
  const result = spec.stopSignal.phase() === 'serving' ? checkLogin(spec.configuration(), login) : refusedForStop
  if (result.kind === 'refused') spec.onLoginRefused(loginName(login), login.route, result.outcome)
  return result
}

const refusedForStop: LoginResult = { kind: 'refused', outcome: notRun('stopping', 'this host is stopping') }

function checkLogin (configuration: ConfigurationInForce, login: LoginRequest): LoginResult {
  if (configuration.manifest === undefined) return { kind: 'refused', outcome: notRun('unconfirmedConfiguration', 'no configuration is in force yet') }
  const token = login.attributes[tokenAttribute]
  if (token !== undefined && decodeToken(token) === undefined) return { kind: 'refused', outcome: notRun('hintMalformed', 'the session token is malformed') }
  const decision = authenticate(configuration.manifest, login)
  switch (decision.kind) {
    case 'granted': return decision
    case 'refused': return { kind: 'refused', outcome: notRun(decision.reason, `the login of ${loginName(login)} is refused`) }
  }
}

function loginName (login: LoginRequest): string {
  switch (login.credential.kind) {
    case 'nativePassword': return redactKeys(login.credential.user)
    case 'key': return '(key)'
  }
}
