// The open transactions of one server: each keeps its session to itself. One
// that nobody uses any more is rolled back by closing its session.

import type { OpenTransaction, ServerSession, TransactionOwner, TransactionTable } from '../dispatch/index.js'
import type { Access, HostName } from '../model/index.js'
import type { DaemonContext } from './context.js'

/** A transaction without a statement for this time is rolled back, where the manifest sets no other. */
const defaultIdleMs = 10_000
/** Part of all open transactions on a server that one account may hold. */
const accountShareOfTransactions = 0.5
const sweepMs = 500

type HeldTransaction = OpenTransaction & { readonly usedAtMs: number, readonly busy: boolean }

/** The open transactions of one server. */
export class Transactions implements TransactionTable {
  readonly #context: DaemonContext
  readonly #capacity: number
  readonly #discard: (session: ServerSession) => void
  readonly #held = new Map<string, HeldTransaction>()
  readonly #cancel: () => void
  #idleMs = defaultIdleMs
  #nextId = 1

  /**
   * Makes an empty table.
   * @param context - settings and time
   * @param capacity - how many may be open
   * @param discard - closes a session, which rolls its transaction back
   */
  constructor (context: DaemonContext, capacity: number, discard: (session: ServerSession) => void) {
    this.#context = context
    this.#capacity = capacity
    this.#discard = discard
    this.#cancel = context.timers.every(sweepMs, { send: tick => { this.#sweep(tick.nowMs); return 'accepted' } })
  }

  /**
   * How many are open.
   * @returns the count
   */
  get size (): number {
    return this.#held.size
  }

  /**
   * Keeps a session for a transaction.
   * @param owner - whose it is
   * @param access - whether it may write
   * @param session - the session, after BEGIN
   * @returns the id, or undefined where too many are open
   */
  open ({ account, from }: TransactionOwner, access: Access, session: ServerSession): string | undefined {
    if (this.#held.size >= this.#capacity || this.#heldBy(account) >= this.#capacity * accountShareOfTransactions) return undefined
    const id = `${this.#context.incarnation}.${this.#nextId}`
    this.#nextId += 1
    this.#held.set(id, { id, account, from, access, session, usedAtMs: this.#context.timers.nowMs(), busy: false })
    return id
  }

  /**
   * Takes a transaction out while a statement of it runs.
   * @param id - the transaction
   * @param account - who asks
   * @returns the transaction, or undefined where it is unknown, busy or another account's
   */
  take (id: string, account: string): OpenTransaction | undefined {
    const held = this.#held.get(id)
    if (held === undefined || held.busy || held.account !== account) return undefined
    this.#held.set(id, { ...held, busy: true })
    return held
  }

  /**
   * Puts a transaction back after a statement.
   * @param transaction - the transaction
   */
  putBack (transaction: OpenTransaction): void {
    this.#held.set(transaction.id, { ...transaction, usedAtMs: this.#context.timers.nowMs(), busy: false })
  }

  /**
   * Removes a transaction that has ended.
   * @param transaction - the transaction
   */
  remove (transaction: OpenTransaction): void {
    this.#held.delete(transaction.id)
  }

  /**
   * Sets how long a transaction may rest.
   * @param idleMs - the time; undefined for the default
   */
  setIdleTransactionMs (idleMs: number | undefined): void {
    this.#idleMs = idleMs ?? defaultIdleMs
  }

  /** Rolls all back. */
  stop (): void {
    this.#cancel()
    for (const held of this.#held.values()) this.#discard(held.session)
    this.#held.clear()
  }

  /**
   * Rolls back the transactions whose callers' hosts are gone.
   * @param silent - the hosts
   */
  rollBackFrom (silent: ReadonlySet<HostName>): void {
    for (const held of this.#held.values()) {
      if (held.busy || !silent.has(held.from)) continue
      this.#held.delete(held.id)
      this.#discard(held.session)
    }
  }

  #heldBy (account: string): number {
    return [...this.#held.values()].filter(held => held.account === account).length
  }

  #sweep (nowMs: number): void {
    for (const held of this.#held.values()) {
      if (held.busy || nowMs - held.usedAtMs < this.#idleMs) continue
      this.#held.delete(held.id)
      this.#discard(held.session)
    }
  }
}
