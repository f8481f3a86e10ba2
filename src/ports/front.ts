// The port of a front end: what callers speak. A front end turns a caller's
// connection into a mailbox of commands and a way to write outcomes.

import type { Credential } from '../config/index.js'
import type { Address, Caller, Outcome, ParsedStatement, Position, RouteName } from '../model/index.js'
import type { Mailbox } from '../pipe/index.js'
import type { SessionRules } from '../request/index.js'

/** What a caller sends after its login. */
export type CallerCommand =
  | { readonly kind: 'query', readonly statement: ParsedStatement }
  | { readonly kind: 'useRoute', readonly route: RouteName }
  | { readonly kind: 'ping' }
  | { readonly kind: 'reset' }
  /** Sent by the host itself: end the session at its next rest. */
  | { readonly kind: 'leave' }
  | { readonly kind: 'tooLong', readonly maxBytes: number }
  | { readonly kind: 'unsupported', readonly what: string }

/** What a caller shows at its login. */
export type LoginRequest = {
  readonly route: RouteName
  readonly credential: Credential
  readonly attributes: Readonly<Record<string, string>>
}

/** The state of a session that goes with each answer. */
export type SessionStatus = {
  readonly transaction: 'none' | 'open' | 'failed'
  /** Position of the log that the answer stands for, where one is known. */
  readonly position: Position | undefined
}

/** A caller's connection after an accepted login. */
export type CallerConnection = {
  readonly login: LoginRequest
  /** Commands in the order in which they came; closed with the connection. */
  readonly inbox: Mailbox<CallerCommand>
  readonly write: (outcome: Outcome, status: SessionStatus) => void
  /** Ends a session at rest, because the host stops. */
  readonly closeForStop: () => void
  readonly close: () => void
}

/** Decides on a login. */
export type LoginDecision = (login: LoginRequest) =>
  | { readonly kind: 'granted', readonly caller: Caller }
  | { readonly kind: 'refused', readonly outcome: Outcome }

/** A running listener for callers. */
export type CallerListener = {
  readonly port: number
  /** Accepts no further connection; open ones go on. */
  readonly stopAccepting: () => void
}

/** What a front end needs. */
export type FrontEndSpec = {
  readonly address: Address
  readonly maxConnections: number
  readonly maxStatementBytes: number
  readonly decideLogin: LoginDecision
  /** Whether this host wants new callers. */
  readonly isReady: () => boolean
  readonly onCaller: (link: CallerConnection, caller: Caller) => void
}

/** A front end. */
export type FrontEnd = {
  readonly rules: SessionRules
  /** Listens for callers; rejects with a `WireError` where the port is taken. */
  readonly listen: (spec: FrontEndSpec) => Promise<CallerListener>
}
