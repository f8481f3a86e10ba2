// The accounting of all connections, without a socket or a clock. Each connection
// reports what it holds in absolute numbers, so its end frees exactly that. The
// measures, in this order: reading is paused from three quarters of the budget on,
// except for one connection, whose message may be completed; above the budget
// connections are closed, those before their login first, then those whose message or
// answer takes long, then the largest.

import type { GuardLimits } from './budget.js'
import { hasOwnBacklog, heldBytes, isInTheWay, noUse, overdueReason, withUse, type CloseReason, type Holder, type HolderKind, type HolderPhase, type HolderUse } from './holder.js'

/** What the owner of a connection has to do. */
export type GuardAction =
  | { readonly kind: 'pause', readonly id: number }
  | { readonly kind: 'resume', readonly id: number }
  | { readonly kind: 'close', readonly id: number, readonly reason: CloseReason }

/** Result of opening a connection. */
export type Opened = {
  /** Undefined where there is no room for the connection. */
  readonly id: number | undefined
  readonly actions: readonly GuardAction[]
}

/** Sums over all connections. */
export type GuardTotals = {
  readonly connections: number
  readonly bytes: number
  readonly paused: number
}

/** Fraction of the budget from which on reading is paused. */
const pauseFraction = 3 / 4
/** Bytes that a connection may hold also where the budget is used up: an ordinary statement. */
const freeBytes = 16 * 1024
/** A read of a socket brings up to so much. */
const chunkBytes = 64 * 1024
/** Peers that have not sent a valid line yet. All hosts that exchange heartbeats may connect at once. */
const maxNewPeers = 128

/** The connections of a process and what they hold. */
export class Ledger {
  readonly #limits: GuardLimits
  readonly #holders = new Map<number, Holder>()
  readonly #waiting = new Set<number>()
  readonly #counts = { caller: 0, newPeers: 0 }
  #bytes = 0
  #nextId = 1
  /** The connection that may exceed the budget, so that a message can be completed. */
  #favoured: number | undefined

  /**
   * Creates an account without connections.
   * @param limits - the bounds
   */
  constructor (limits: GuardLimits) {
    this.#limits = limits
  }

  /**
   * Sums up what is held.
   * @returns the sums
   */
  totals (): GuardTotals {
    return { connections: this.#holders.size, bytes: this.#bytes, paused: this.#waiting.size }
  }

  /**
   * Adds a connection. Where there is no room, the one that is closed for it is the
   * oldest before its login, or one whose message or answer takes long.
   * @param kind - whose connection it is
   * @param nowMs - the time
   * @returns its id, and the measures
   */
  open (kind: HolderKind, nowMs: number): Opened {
    const isFull = kind === 'caller' ? this.#counts.caller >= this.#limits.maxCallers : this.#counts.newPeers >= maxNewPeers
    const victim = isFull ? this.#findReplaceable(kind, nowMs) : undefined
    if (isFull && victim === undefined) return { id: undefined, actions: [] }
    const actions = victim === undefined ? [] : this.#close(victim, 'connections', nowMs)
    const id = this.#nextId++
    this.#holders.set(id, { id, kind, phase: 'unauthenticated', phaseSinceMs: nowMs, use: noUse, begunAtMs: undefined, unreadSinceMs: undefined, pause: undefined })
    if (kind === 'caller') this.#counts.caller += 1
    else this.#counts.newPeers += 1
    return { id, actions }
  }

  /**
   * Records what a connection holds now.
   * @param id - the connection; one that was closed is ignored
   * @param use - what it holds
   * @param nowMs - the time
   * @returns the measures
   */
  report (id: number, use: HolderUse, nowMs: number): readonly GuardAction[] {
    const before = this.#holders.get(id)
    if (before === undefined) return []
    this.#bytes += heldBytes(use) - heldBytes(before.use)
    this.#holders.set(id, withUse(before, use, nowMs))
    return [...this.#closeLargest(nowMs), ...this.#adjustReading(id, nowMs), ...this.#resumeWaiting(nowMs)]
  }

  /**
   * Records the phase of a connection.
   * @param id - the connection
   * @param phase - its phase
   * @param nowMs - the time
   */
  enter (id: number, phase: HolderPhase, nowMs: number): void {
    const holder = this.#holders.get(id)
    if (holder === undefined || holder.phase === phase) return
    if (isNewPeer(holder)) this.#counts.newPeers -= 1
    this.#holders.set(id, { ...holder, phase, phaseSinceMs: nowMs })
  }

  /**
   * Removes a connection and all that it holds.
   * @param id - the connection
   * @param nowMs - the time
   * @returns the measures for others
   */
  close (id: number, nowMs: number): readonly GuardAction[] {
    this.#remove(id)
    return this.#resumeWaiting(nowMs)
  }

  /**
   * Checks the deadlines of all connections.
   * @param nowMs - the time
   * @returns the measures
   */
  sweep (nowMs: number): readonly GuardAction[] {
    const isPressed = this.#bytes > this.#pauseBytes()
    const overdue = [...this.#holders.values()].flatMap(holder => {
      const reason = overdueReason(holder, this.#limits, isPressed, nowMs)
      return reason === undefined ? [] : this.#close(holder, reason, nowMs)
    })
    return [...overdue, ...this.#resumeWaiting(nowMs)]
  }

  #pauseBytes (): number {
    return this.#limits.budgetBytes * pauseFraction
  }

  #adjustReading (id: number, nowMs: number): readonly GuardAction[] {
    const holder = this.#holders.get(id)
    if (holder === undefined) return []
    const isSmall = heldBytes(holder.use) <= freeBytes
    if (this.#favoured === id && isSmall) this.#favoured = undefined
    if (hasOwnBacklog(holder.kind, holder.use)) return this.#pause(holder, 'own')
    const needsRoom = holder.kind === 'caller' && !isSmall && this.#bytes > this.#pauseBytes()
    if (!needsRoom) return this.#resume(holder, nowMs)
    this.#favoured ??= id
    return this.#favoured === id ? this.#resume(holder, nowMs) : this.#pause(holder, 'budget')
  }

  #pause (holder: Holder, cause: 'own' | 'budget'): readonly GuardAction[] {
    if (holder.pause === cause) return []
    this.#holders.set(holder.id, { ...holder, pause: cause })
    if (cause === 'budget') this.#waiting.add(holder.id)
    else this.#waiting.delete(holder.id)
    return holder.pause === undefined ? [{ kind: 'pause', id: holder.id }] : []
  }

  #resume (holder: Holder, nowMs: number): readonly GuardAction[] {
    if (holder.pause === undefined) return []
    this.#waiting.delete(holder.id)
    this.#holders.set(holder.id, { ...holder, pause: undefined, begunAtMs: holder.begunAtMs === undefined ? undefined : nowMs })
    return [{ kind: 'resume', id: holder.id }]
  }

  // As many go on as there is room for one read of each; without room, one may.
  #resumeWaiting (nowMs: number): readonly GuardAction[] {
    if (this.#waiting.size === 0) return []
    const room = Math.floor((this.#pauseBytes() - this.#bytes) / chunkBytes)
    const next = room > 0 ? [...this.#waiting].slice(0, room) : this.#favourOne()
    return next.flatMap(id => {
      const holder = this.#holders.get(id)
      return holder === undefined ? [] : this.#resume(holder, nowMs)
    })
  }

  #favourOne (): readonly number[] {
    if (this.#favoured !== undefined) return []
    const waiting = [...this.#waiting].flatMap(id => this.#holders.get(id) ?? [])
    this.#favoured = waiting.reduce<Holder | undefined>((best, holder) => best !== undefined && best.use.partialBytes >= holder.use.partialBytes ? best : holder, undefined)?.id
    return this.#favoured === undefined ? [] : [this.#favoured]
  }

  #closeLargest (nowMs: number): readonly GuardAction[] {
    const closed: GuardAction[] = []
    while (this.#bytes > this.#limits.budgetBytes) {
      const victim = this.#findLargest(nowMs)
      if (victim === undefined) break
      closed.push(...this.#close(victim, 'memory', nowMs))
    }
    return closed
  }

  // The favoured connection stays: with it, the budget is exceeded by one message.
  #findLargest (nowMs: number): Holder | undefined {
    let largest: { readonly holder: Holder, readonly rank: number } | undefined
    for (const holder of this.#holders.values()) {
      if (heldBytes(holder.use) === 0 || holder.id === this.#favoured) continue
      const rank = closingRank(holder, nowMs)
      const isLarger = largest === undefined || rank > largest.rank || (rank === largest.rank && heldBytes(holder.use) > heldBytes(largest.holder.use))
      if (isLarger) largest = { holder, rank }
    }
    return largest?.holder
  }

  #findReplaceable (kind: HolderKind, nowMs: number): Holder | undefined {
    let slow: Holder | undefined
    // The order of the map is that of opening.
    for (const holder of this.#holders.values()) {
      if (holder.kind !== kind) continue
      if (holder.phase === 'unauthenticated') return holder
      if (kind === 'caller' && isInTheWay(holder, nowMs)) slow ??= holder
    }
    return slow
  }

  #close (holder: Holder, reason: CloseReason, nowMs: number): readonly GuardAction[] {
    this.#remove(holder.id)
    return [{ kind: 'close', id: holder.id, reason }]
  }

  #remove (id: number): void {
    const holder = this.#holders.get(id)
    if (holder === undefined) return
    this.#holders.delete(id)
    this.#waiting.delete(id)
    this.#bytes -= heldBytes(holder.use)
    if (this.#favoured === id) this.#favoured = undefined
    if (holder.kind === 'caller') this.#counts.caller -= 1
    if (isNewPeer(holder)) this.#counts.newPeers -= 1
  }
}

function isNewPeer ({ kind, phase }: Holder): boolean {
  return kind === 'peer' && phase === 'unauthenticated'
}

// Which connections are closed first where memory is short.
function closingRank (holder: Holder, nowMs: number): number {
  if (holder.phase === 'unauthenticated') return 3
  if (isInTheWay(holder, nowMs)) return 2
  return holder.kind === 'caller' ? 1 : 0
}
