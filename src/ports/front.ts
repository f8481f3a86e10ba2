// The port of a front end, which implements the protocol of callers. A front end
// presents a caller's connection as a mailbox of commands and a function that
// writes outcomes.

import type { Credential } from '../config/index.js'
import type { Address, Caller, Outcome, ParsedStatement, Position, RouteName } from '../model/index.js'
import type { Mailbox } from '../pipe/index.js'
import type { ConnectionGuard } from './guard.js'
import type { SessionRules } from '../request/index.js'

/** Command that a caller sends after its login. */
export type CallerCommand =
  | { readonly kind: 'query', readonly statement: ParsedStatement }
  | { readonly kind: 'useRoute', readonly route: RouteName }
  | { readonly kind: 'ping' }
  | { readonly kind: 'reset' }
  /** Sent by the host itself: the phase of a planned stop has changed. */
  | { readonly kind: 'stopPhaseChanged' }
  | { readonly kind: 'tooLong', readonly maxBytes: number }
  | { readonly kind: 'unsupported', readonly what: string }

/** Login request of a caller. */
export type LoginRequest = {
  readonly route: RouteName
  readonly credential: Credential
  readonly attributes: Readonly<Record<string, string>>
}

/** Session state that accompanies each response. */
export type SessionStatus = {
  readonly transaction: 'none' | 'open' | 'failed'
  /** Log position that the response reflects, where it is known. */
  readonly position: Position | undefined
}

/** A caller's connection after an accepted login. */
export type CallerConnection = {
  readonly login: LoginRequest
  /** Commands in the order of arrival; closed with the connection. */
  readonly inbox: Mailbox<CallerCommand>
  /** Writes an answer; the promise, where there is one, ends when the caller has read enough for the next. */
  readonly write: (outcome: Outcome, status: SessionStatus) => Promise<void> | undefined
  /** Closes an idle session because the host is stopping. */
  readonly closeForStop: () => void
  readonly close: () => void
}

/** Decides whether a login is granted. */
export type LoginDecision = (login: LoginRequest) =>
  | { readonly kind: 'granted', readonly caller: Caller }
  | { readonly kind: 'refused', readonly outcome: Outcome }

/** A running listener for callers. */
export type CallerListener = {
  readonly port: number
  /** Stops accepting connections; open ones continue. */
  readonly stopAccepting: () => void
}

/** Configuration and callbacks of a front end. */
export type FrontEndSpec = {
  readonly address: Address
  /** Decides whether there is room for a connection, and when reading from it has to wait. */
  readonly guard: ConnectionGuard
  readonly maxStatementBytes: number
  readonly decideLogin: LoginDecision
  /** Whether this host accepts new callers. */
  readonly isReady: () => boolean
  readonly onCaller: (link: CallerConnection, caller: Caller) => void
}

/** A front end. */
export type FrontEnd = {
  readonly rules: SessionRules
  /** Listens for callers; rejects with a `WireError` where the port is taken. */
  readonly listen: (spec: FrontEndSpec) => Promise<CallerListener>
}
