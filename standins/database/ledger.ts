// The rules of the ledger: which server may commit, what a fence prevents, and
// how a replica takes over the primary's log. Pure functions over one read-only
// state.

import { comparePositions, originPosition, type Address, type Position, type ServerStatus } from '../../src/model/index.js'
import { appendEntry, emptyLog, entriesAfter, entryAt, holdsPosition, lastAtOrBelow, lastPosition, logLength, mergeEntries, type Log, type LogEntry } from './log.js'

/** Maximum number of entries in one response to a replica. */
const maxShippedEntries = 500

/** Role of a server in its group. */
export type LedgerRole =
  | { readonly kind: 'primary', readonly term: number }
  | { readonly kind: 'replica', readonly term: number, readonly source: Address | undefined }

/** A received entry that is not applied until its lag has passed. */
type PendingEntry = {
  readonly entry: LogEntry
  readonly dueMs: number
}

export type Ledger = {
  readonly server: string
  readonly role: LedgerRole
  readonly fencedTerm: number
  readonly proposer: string
  readonly log: Log
  readonly pending: readonly PendingEntry[]
  readonly applied: Position
}

/** Result of a call: whether it was accepted, and the ledger after it. */
export type LedgerCallResult = {
  readonly accepted: boolean
  readonly ledger: Ledger
}

export function newLedger (server: string): Ledger {
  return {
    server,
    role: { kind: 'replica', term: 0, source: undefined },
    fencedTerm: 0,
    proposer: '',
    log: emptyLog,
    pending: [],
    applied: originPosition
  }
}

export function statusOf (ledger: Ledger): ServerStatus {
  return {
    server: ledger.server,
    role: ledger.role.kind,
    fencedTerm: ledger.fencedTerm,
    proposer: ledger.proposer,
    received: lastPosition(ledger.log),
    applied: ledger.applied
  }
}

/** A primary may commit only while no proposer has fenced a higher term. */
export function canCommit (ledger: Ledger): boolean {
  return ledger.role.kind === 'primary' && ledger.role.term === ledger.fencedTerm
}

export function fence (ledger: Ledger, term: number, proposer: string): LedgerCallResult {
  const isRepeated = term === ledger.fencedTerm && proposer === ledger.proposer
  if (isRepeated) return { accepted: true, ledger }
  if (term <= ledger.fencedTerm) return { accepted: false, ledger }
  const role: LedgerRole = { kind: 'replica', term: ledger.role.term, source: undefined }
  return { accepted: true, ledger: { ...ledger, role, fencedTerm: term, proposer } }
}

/**
 * Makes a fenced server the primary. Its received entries are applied at once,
 * followed by an empty entry of the new term.
 */
export function promote (ledger: Ledger, term: number, proposer: string): LedgerCallResult {
  if (term !== ledger.fencedTerm || proposer !== ledger.proposer) return { accepted: false, ledger }
  if (ledger.role.kind === 'primary' && ledger.role.term === term) return { accepted: true, ledger }
  const promoted: Ledger = { ...ledger, role: { kind: 'primary', term }, pending: [] }
  return { accepted: true, ledger: appendCommitted(promoted, []) }
}

export function follow (ledger: Ledger, term: number, proposer: string, source: Address): LedgerCallResult {
  const isPrimaryOfTerm = ledger.role.kind === 'primary' && ledger.role.term >= term
  if (term < ledger.fencedTerm || isPrimaryOfTerm) return { accepted: false, ledger }
  const role: LedgerRole = { kind: 'replica', term, source }
  return { accepted: true, ledger: { ...ledger, role, fencedTerm: term, proposer } }
}

// A fenced primary still ships the entries that it wrote in its term until it
// follows another primary; a replica accepts them only while it is not fenced
// itself.
function canShip (ledger: Ledger, term: number): boolean {
  if (ledger.role.term !== term) return false
  if (canCommit(ledger)) return true
  const follows = ledger.role.kind === 'replica' && ledger.role.source !== undefined
  return !follows && lastPosition(ledger.log).term === term
}

/**
 * Appends a committed transaction of the primary; the caller has checked that
 * the server may commit.
 */
export function appendCommitted (ledger: Ledger, statements: readonly string[]): Ledger {
  const position: Position = { term: ledger.role.term, index: logLength(ledger.log) + 1 }
  return { ...ledger, log: appendEntry(ledger.log, { position, statements }), applied: position }
}

/** Response of a primary to a replica that holds its log up to a position. */
export type Shipment =
  | { readonly kind: 'entries', readonly entries: readonly LogEntry[] }
  /**
   * The logs differ before that position; `at` is the last one where they may
   * agree.
   */
  | { readonly kind: 'retry', readonly at: Position }
  | { readonly kind: 'notPrimary' }

export function ship (ledger: Ledger, term: number, after: Position): Shipment {
  if (!canShip(ledger, term)) return { kind: 'notPrimary' }
  if (!holdsPosition(ledger.log, after)) return { kind: 'retry', at: lastAtOrBelow(ledger.log, after) }
  return { kind: 'entries', entries: entriesAfter(ledger.log, after.index, maxShippedEntries) }
}

/** Position from which a replica continues after a `retry` of the primary. */
export function resumePosition (ledger: Ledger, hint: Position): Position {
  return lastAtOrBelow(ledger.log, hint)
}

/** Ledger of a replica after a shipment. */
export type ReceiveResult = {
  readonly ledger: Ledger
  /** Set if applied entries were dropped: the entries to rebuild the data from. */
  readonly rebuild: readonly LogEntry[] | undefined
}

export function receive (ledger: Ledger, term: number, entries: readonly LogEntry[], dueMs: number): ReceiveResult {
  const follows = ledger.role.kind === 'replica' && ledger.role.source !== undefined
  if (!follows || ledger.role.term !== term || ledger.fencedTerm !== term) return { ledger, rebuild: undefined }
  const merged = mergeEntries(ledger.log, entries)
  if (merged.changedFrom === undefined) return { ledger, rebuild: undefined }
  const changedFrom = merged.changedFrom
  const kept = ledger.pending.filter(each => each.entry.position.index < changedFrom)
  const added = entries.filter(entry => entry.position.index >= changedFrom)
  const pending = [...kept, ...added.map(entry => ({ entry, dueMs }))]
  const next = { ...ledger, log: merged.log, pending }
  if (ledger.applied.index < changedFrom) return { ledger: next, rebuild: undefined }
  const applied = entryAt(merged.log, changedFrom - 1)?.position ?? originPosition
  return { ledger: { ...next, applied }, rebuild: entriesAfter(merged.log, 0, applied.index) }
}

/** Entries to apply by a point in time, and the ledger after that. */
export type DueEntries = {
  readonly ledger: Ledger
  readonly entries: readonly LogEntry[]
}

export function applyDue (ledger: Ledger, nowMs: number): DueEntries {
  const firstNotDue = ledger.pending.findIndex(each => each.dueMs > nowMs)
  const count = firstNotDue === -1 ? ledger.pending.length : firstNotDue
  const entries = ledger.pending.slice(0, count).map(each => each.entry)
  const applied = entries.at(-1)?.position ?? ledger.applied
  return { ledger: { ...ledger, pending: ledger.pending.slice(count), applied }, entries }
}

/** Status that a caller of `ledger_wait` last received. */
export type LastStatus = {
  readonly received: Position
  readonly applied: Position
  readonly fencedTerm: number
}

export function hasChangedSince (ledger: Ledger, lastStatus: LastStatus): boolean {
  const status = statusOf(ledger)
  return status.fencedTerm !== lastStatus.fencedTerm ||
    comparePositions(status.received, lastStatus.received) !== 0 ||
    comparePositions(status.applied, lastStatus.applied) !== 0
}
