// What the guard knows of one connection, and how much it stands in the way of
// others.

import type { GuardLimits } from './budget.js'

/** Whose connection it is. */
export type HolderKind = 'caller' | 'peer'

/**
 * Phase of a connection: before its login (of a peer: before its first valid line),
 * after it, or while it waits for the other side to close.
 */
export type HolderPhase = 'unauthenticated' | 'authenticated' | 'closing'

/** What a connection holds now. */
export type HolderUse = {
  /** Bytes of a message that has begun, and of messages that wait to be read from the buffer. */
  readonly partialBytes: number
  /** Bytes of messages that are queued or in work. */
  readonly workBytes: number
  readonly queued: number
  /** Bytes of answers that the other side has not read. */
  readonly unreadBytes: number
  /** Number of messages that were completed since the connection opened. */
  readonly messages: number
}

/** One connection. */
export type Holder = {
  readonly id: number
  readonly kind: HolderKind
  readonly phase: HolderPhase
  readonly phaseSinceMs: number
  readonly use: HolderUse
  /** Since when a message is incomplete, without the time for which reading was paused. */
  readonly begunAtMs: number | undefined
  readonly unreadSinceMs: number | undefined
  readonly pause: PauseCause | undefined
}

/** Why reading from a connection is paused. */
export type PauseCause = 'own' | 'budget'

/** Why a connection is closed. */
export type CloseReason = 'memory' | 'connections' | 'loginOverdue' | 'messageOverdue' | 'answerUnread' | 'lingering'

/** Messages that may wait for a connection's one in work. */
const maxQueued = 4
/** Bytes of a connection's own messages or answers from which on no more is read from it. */
const maxOwnBytes = 256 * 1024
/** Time in which the other side has to close a connection that this host has ended. */
const lingerMs = 5000
/** Where others need the room, a message or an answer may take this long. */
const pressedMs = 2000

/** Use of a connection that holds nothing. */
export const noUse: HolderUse = { partialBytes: 0, workBytes: 0, queued: 0, unreadBytes: 0, messages: 0 }

/**
 * Adds up what a connection holds.
 * @param use - its use
 * @returns the bytes
 */
export function heldBytes (use: HolderUse): number {
  return use.partialBytes + use.workBytes + use.unreadBytes
}

/**
 * Replaces the use of a connection.
 * @param holder - the connection
 * @param use - what it holds now
 * @param nowMs - the time
 * @returns the connection with the use, and with the times since when it waits
 */
export function withUse (holder: Holder, use: HolderUse, nowMs: number): Holder {
  const continues = use.messages === holder.use.messages ? holder.begunAtMs : undefined
  return {
    ...holder,
    use,
    begunAtMs: use.partialBytes > 0 ? continues ?? nowMs : undefined,
    unreadSinceMs: use.unreadBytes > 0 ? holder.unreadSinceMs ?? nowMs : undefined
  }
}

/**
 * Decides whether a connection has enough of its own in work. A link from a peer
 * carries heartbeats besides statements, so only unread answers stop it.
 * @param kind - whose connection it is
 * @param use - what it holds
 * @returns whether reading has to wait for its own messages or answers
 */
export function hasOwnBacklog (kind: HolderKind, use: HolderUse): boolean {
  if (use.unreadBytes > maxOwnBytes) return true
  switch (kind) {
    case 'caller': return use.queued >= maxQueued || use.workBytes > maxOwnBytes
    case 'peer': return false
  }
}

/**
 * Decides whether a connection holds a message, an answer or its place for too long
 * for a host that needs the room.
 * @param holder - the connection
 * @param nowMs - the time
 * @returns whether it may be closed for others
 */
export function isInTheWay (holder: Holder, nowMs: number): boolean {
  if (holder.phase === 'closing' && isOlder(holder.phaseSinceMs, nowMs, pressedMs)) return true
  return isOlder(begunAtMs(holder), nowMs, pressedMs) || isOlder(holder.unreadSinceMs, nowMs, pressedMs)
}

/**
 * Decides whether a deadline of a connection has passed.
 * @param holder - the connection
 * @param limits - the deadlines
 * @param isPressed - whether others need the room
 * @param nowMs - the time
 * @returns why it has to be closed, undefined where it stays
 */
export function overdueReason (holder: Holder, limits: GuardLimits, isPressed: boolean, nowMs: number): CloseReason | undefined {
  const inPhaseMs = nowMs - holder.phaseSinceMs
  switch (holder.phase) {
    case 'closing': return inPhaseMs > (holder.use.unreadBytes > 0 ? limits.unreadMs : lingerMs) ? 'lingering' : undefined
    case 'unauthenticated': return inPhaseMs > limits.loginMs ? 'loginOverdue' : overdueMessage(holder, limits, isPressed, nowMs)
    case 'authenticated': return overdueMessage(holder, limits, isPressed, nowMs)
  }
}

function overdueMessage (holder: Holder, limits: GuardLimits, isPressed: boolean, nowMs: number): CloseReason | undefined {
  if (isOlder(begunAtMs(holder), nowMs, isPressed ? pressedMs : limits.messageMs)) return 'messageOverdue'
  return isOlder(holder.unreadSinceMs, nowMs, isPressed ? pressedMs : limits.unreadMs) ? 'answerUnread' : undefined
}

// While reading is paused, a message can't be completed.
function begunAtMs (holder: Holder): number | undefined {
  return holder.pause === undefined ? holder.begunAtMs : undefined
}

function isOlder (sinceMs: number | undefined, nowMs: number, ageMs: number): boolean {
  return sinceMs !== undefined && nowMs - sinceMs > ageMs
}
