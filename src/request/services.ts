// What the request pipe asks of the tasks around it. The daemon gives the
// real ones; tests and embedders give their own.

import type { AccountName, DatabaseName, ExecuteRequest, MinPositions, HostName, Manifest, Outcome, Position, ServerName } from '../model/index.js'
import type { AttemptResult } from './retry.js'
import type { RoutingView } from './route.js'

/** The configuration in force, as a statement finds it. */
export type ConfigurationInForce = {
  readonly manifest: Manifest | undefined
  /** False where the generation was not confirmed lately. */
  readonly confirmed: boolean
}

/** What the request pipe asks of the tasks around it. */
export type RequestServices = {
  /** Monotonic time in milliseconds. */
  readonly nowMs: () => number
  readonly sleep: (delayMs: number) => Promise<void>
  readonly configuration: () => ConfigurationInForce
  /** Takes one token of the account; gives the refusal where there is none. */
  readonly admit: (account: AccountName, deadlineAtMs: number) => Promise<Outcome | undefined>
  readonly routing: (database: DatabaseName) => RoutingView
  readonly execute: (home: HostName, request: ExecuteRequest) => Promise<AttemptResult>
  /** Told what a reply says of a server's applied position. */
  readonly sawApplied: (server: ServerName, applied: Position) => void
  /** A random number from 0 up to, not including, 1. */
  readonly random: () => number
  readonly encodeToken: (floors: MinPositions) => string
  readonly decodeToken: (token: string) => MinPositions | undefined
  /** Tells a text that holds something shaped like a key. */
  readonly holdsKey: (text: string) => boolean
}

/** Bounds of the request pipe. */
export type RequestBounds = {
  readonly self: HostName
  readonly localFailureDomain: string
  readonly defaultDeadlineMs: number
  readonly maxDeadlineMs: number
  readonly rules: SessionRules
  /** Where reads of the newest state run: where servers tell their positions only when asked, the primary needs the fewest questions. */
  readonly strongReadsAt: 'anyServer' | 'primary'
}

/** Rules of a front end's sessions. */
export type SessionRules = {
  /** What takes a token of the account's rate: each statement, or each transaction as a whole. */
  readonly rateUnit: 'statement' | 'operation'
  /** Whether a transaction goes on after a statement of it was not answered. */
  readonly afterError: 'goesOn' | 'fails'
}

/** Sessions as in MySQL. */
export const mysqlSessionRules: SessionRules = { rateUnit: 'statement', afterError: 'goesOn' }
