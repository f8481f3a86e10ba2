// Services that the request pipe needs from the tasks around it. The daemon
// supplies the real ones; tests and embedders supply their own.

import type { Admission, PeerSupport } from '../admission/index.js'
import type { AccountName, DatabaseName, ExecuteRequest, MinPositions, HostName, Manifest, Outcome, PeerParams, Position, ServerName } from '../model/index.js'
import type { AttemptResult } from './retry.js'
import type { RetryBudgetSettings } from './retry-budget.js'
import type { RoutingView } from './route.js'

/** The configuration in force when a statement is processed. */
export type ConfigurationInForce = {
  readonly manifest: Manifest | undefined
  /** False if the generation has not been confirmed recently. */
  readonly confirmed: boolean
}

/** Services that the request pipe needs from the tasks around it. */
export type RequestServices = {
  /** Monotonic time in milliseconds. */
  readonly nowMs: () => number
  readonly sleep: (delayMs: number) => Promise<void>
  readonly configuration: () => ConfigurationInForce
  /**
   * Takes one token from the account's rate limit; returns the outcome if the
   * request is refused.
   */
  readonly admit: (account: AccountName, deadlineAtMs: number) => Promise<Outcome | undefined>
  /** As `admit`, but without a token here it may leave the token to the dispatcher. */
  readonly admitOrDelegate: (account: AccountName, deadlineAtMs: number) => Promise<Admission>
  /** Whether a dispatcher takes tokens for entry hosts. */
  readonly dispatcherSupport: (dispatcher: HostName) => PeerSupport
  /** Called with the account of a statement that a dispatcher refused for its rate. */
  readonly onDelegationRefused: (account: AccountName) => void
  readonly routing: (database: DatabaseName) => RoutingView
  readonly execute: (dispatcher: HostName, request: ExecuteRequest) => Promise<AttemptResult>
  /** Tells a dispatcher that a statement is no longer needed; omitted where none waits. */
  readonly cancel?: (dispatcher: HostName, call: PeerParams<'cancel'>) => void
  /** Whether this host is overloaded and refuses a new statement of the priority; omitted: never. */
  readonly sheds?: (priority: number) => boolean
  /** Called with each retry that the retry budget allowed or refused. */
  readonly onRetry?: (result: 'made' | 'refused') => void
  /** Called with the applied position of a server that a reply contains. */
  readonly onAppliedPosition: (server: ServerName, applied: Position) => void
  /** A random number from 0 up to, not including, 1. */
  readonly random: () => number
  readonly encodeToken: (minPositions: MinPositions) => string
  readonly decodeToken: (token: string) => MinPositions | undefined
  /**
   * Reserves bytes for values and prepared statements of a session that keeps
   * `sessionBytes`; absent where they have no bound.
   */
  readonly keepBytes?: (sessionBytes: number, addedBytes: number) => boolean
  /** Detects text in the form of a client key. */
  readonly containsKey: (text: string) => boolean
}

/** Bounds of the request pipe. */
export type RequestBounds = {
  readonly self: HostName
  readonly localFailureDomain: string
  readonly defaultDeadlineMs: number
  readonly maxDeadlineMs: number
  readonly rules: SessionRules
  /** Retries that this host makes; omitted: the default. */
  readonly retryBudget?: RetryBudgetSettings
  /**
   * Where strong reads run. If servers report their positions only when queried,
   * running them at the primary needs the fewest queries.
   */
  readonly strongReadsAt: 'anyServer' | 'primary'
}

/** Session rules of a front end. */
export type SessionRules = {
  /**
   * What takes a token from the account's rate limit: each statement, or each
   * transaction as a whole.
   */
  readonly rateUnit: 'statement' | 'operation'
  /**
   * Whether a transaction continues or fails after a statement of it was not
   * answered.
   */
  readonly afterError: 'continues' | 'fails'
}

/** Session rules of MySQL. */
export const mysqlSessionRules: SessionRules = { rateUnit: 'statement', afterError: 'continues' }
