// Open transactions of one server. Each transaction has a session of its own; a
// transaction that is no longer used is rolled back by closing the session.

import type { OpenTransaction, ServerSession, TakeResult, TransactionOwner, TransactionTable } from '../dispatch/index.js'
import type { Access, HostName } from '../model/index.js'
import type { DaemonContext } from './context.js'

/** Default idle timeout of transactions, where the manifest sets none. */
const defaultIdleMs = 10_000
/** Fraction of the open transactions on a server that one account may have. */
const accountFraction = 0.5
const sweepMs = 500
/** Time for which the host of a caller is unresponsive before its transactions are rolled back. */
const unresponsiveMs = 2000

type TransactionEntry = OpenTransaction & { readonly usedAtMs: number, readonly busy: boolean }

/** Open transactions of one server. */
export class Transactions implements TransactionTable {
  readonly #context: DaemonContext
  readonly #capacity: number
  readonly #discard: (session: ServerSession) => void
  readonly #entries = new Map<string, TransactionEntry>()
  readonly #cancel: () => void
  #idleMs = defaultIdleMs
  #unresponsiveSince: ReadonlyMap<HostName, number> = new Map()
  #isClosed = false

  /**
   * Makes an empty table.
   * @param context - settings and time
   * @param capacity - maximum number of open transactions
   * @param discard - closes a session, which rolls its transaction back
   */
  constructor (context: DaemonContext, capacity: number, discard: (session: ServerSession) => void) {
    this.#context = context
    this.#capacity = capacity
    this.#discard = discard
    this.#cancel = context.timers.every(sweepMs, { send: tick => { this.#rollBackAbandoned(tick.nowMs); return 'accepted' } })
  }

  /**
   * Number of open transactions.
   * @returns the count
   */
  get size (): number {
    return this.#entries.size
  }

  /**
   * Keeps a session for a transaction.
   * @param owner - account, host and session of the caller
   * @param access - whether the transaction may write
   * @param session - the session, after BEGIN
   * @returns the id, which is never given to another transaction; undefined where too many are open
   */
  open ({ account, from, callerSession }: TransactionOwner, access: Access, session: ServerSession): string | undefined {
    if (this.#isClosed || this.#entries.size >= this.#capacity || this.#countOf(account) >= this.#capacity * accountFraction) return undefined
    const id = this.#context.uniqueId()
    this.#entries.set(id, { id, owner: { account, from, callerSession }, access, session, hasStarted: false, usedAtMs: this.#context.timers.nowMs(), busy: false })
    return id
  }

  /**
   * Reserves a transaction while one of its statements runs.
   * @param id - the transaction
   * @param owner - account, host and session of the statement's caller
   * @returns the transaction, or why the statement may not use it
   */
  take (id: string, owner: TransactionOwner): TakeResult {
    const entry = this.#entries.get(id)
    if (entry === undefined) return { kind: 'refused', cause: 'unknown' }
    if (!isSameOwner(entry.owner, owner)) return { kind: 'refused', cause: 'otherOwner' }
    if (entry.busy) return { kind: 'refused', cause: 'busy' }
    this.#entries.set(id, { ...entry, busy: true })
    return { kind: 'taken', transaction: entry }
  }

  /**
   * Releases a reserved transaction after a statement.
   * @param transaction - the transaction
   */
  putBack (transaction: OpenTransaction): void {
    if (this.#isClosed) {
      this.#entries.delete(transaction.id)
      this.#discard(transaction.session)
      return
    }
    this.#entries.set(transaction.id, { ...transaction, hasStarted: true, usedAtMs: this.#context.timers.nowMs(), busy: false })
  }

  /**
   * Removes a transaction that has ended.
   * @param transaction - the transaction
   */
  remove (transaction: OpenTransaction): void {
    this.#entries.delete(transaction.id)
  }

  /**
   * Sets the idle timeout of transactions.
   * @param idleMs - the timeout in milliseconds; undefined for the default
   */
  setIdleTransactionMs (idleMs: number | undefined): void {
    this.#idleMs = idleMs ?? defaultIdleMs
  }

  /**
   * Rolls back the transactions, those with a running statement after it, and opens
   * no more. A COMMIT that runs is not affected.
   * @returns the number of transactions
   */
  rollBackAll (): number {
    this.#isClosed = true
    const count = this.#entries.size
    for (const entry of this.#entries.values()) {
      if (entry.busy) continue
      this.#entries.delete(entry.id)
      this.#discard(entry.session)
    }
    return count
  }

  /** Rolls back all transactions at once, and opens no more. */
  stop (): void {
    this.#isClosed = true
    this.#cancel()
    for (const entry of this.#entries.values()) this.#discard(entry.session)
    this.#entries.clear()
  }

  /**
   * Records which hosts are unresponsive. The transactions whose callers are
   * connected to one are rolled back once it has been unresponsive for some time; a
   * host that was only slow for a moment keeps them.
   * @param unresponsive - the hosts
   */
  recordUnresponsive (unresponsive: ReadonlySet<HostName>): void {
    const nowMs = this.#context.timers.nowMs()
    this.#unresponsiveSince = new Map([...unresponsive].map(host => [host, this.#unresponsiveSince.get(host) ?? nowMs]))
  }

  #countOf (account: string): number {
    return [...this.#entries.values()].filter(({ owner }) => owner.account === account).length
  }

  #rollBackAbandoned (nowMs: number): void {
    for (const entry of this.#entries.values()) {
      const sinceMs = this.#unresponsiveSince.get(entry.owner.from) ?? Infinity
      const isAbandoned = nowMs - entry.usedAtMs >= this.#idleMs || nowMs - sinceMs >= unresponsiveMs
      if (entry.busy || !isAbandoned) continue
      this.#entries.delete(entry.id)
      this.#discard(entry.session)
    }
  }
}

function isSameOwner (owner: TransactionOwner, other: TransactionOwner): boolean {
  return owner.account === other.account && owner.from === other.from && owner.callerSession === other.callerSession
}
