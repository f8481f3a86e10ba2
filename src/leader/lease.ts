// The lease of the failover leader, the one host that may order a promotion. It
// is used only where the platform promotes servers (promotion method `byLeader`);
// elsewhere the servers themselves accept a promotion. The lease is an object in
// the store that is written by conditional updates only. The holder renews it.
// Another host that has observed it unchanged for a whole lease duration may take
// it over, with a token above the previous one. The host need not poll again
// before: if its observation is outdated, the store rejects the write by its
// version.
//
// A host that hears in heartbeats which renewal the holder has made counts the lease
// duration from when it first heard of that renewal, so it need not read the store
// while the holder renews.
//
// Why two hosts never hold it at the same time. The holder counts the lease
// duration from before it sent the renewal that the store acknowledged. Another
// host counts it from a response or a heartbeat that showed the renewal, which is
// later, and its takeover is conditional on the version in a response that shows the
// same renewal. A renewal without a response extends nothing; if it takes effect late,
// it only makes the other hosts wait longer. Monotonic time advances while a host is
// suspended (see the timer service). Clock rates of two hosts are assumed to differ by
// less than 0.5% (docs/PROOFS.md); the holder's margin covers that difference.
//
// After a restore of the store the record is one of an earlier time, and the last
// holder may be missing from it. A record of an earlier era than the store's, or none in
// an era above 0, therefore counts as held by an unknown host since this host first saw
// the era or, if later, this version of the record: no holder of the earlier era can
// renew from then on. The token of a takeover contains the era and the version, which
// only increase, so it is above every token of earlier eras and of records that a late
// write of an earlier era has replaced.

import type { HostName, LeaseRenewal } from '../model/index.js'
import { withoutEffects, type Transition } from '../pipe/index.js'

/** The lease record in the store. */
export type LeaseRecord = {
  readonly holder: HostName
  /** Differs at each start of the holder's process. */
  readonly incarnation: string
  /** Fencing token; increases with each change of the holder. */
  readonly token: number
  /** Increases with each renewal. */
  readonly renewal: number
  /** Set when the holder stops and releases the lease. */
  readonly released: boolean
  /** Era of the read on which the write is based; undefined: 0. */
  readonly era?: number | undefined
}

/**
 * Distance between the lowest tokens of two eras. Versions are revisions of the store;
 * at 100 changes a second they reach this number in 31 years.
 */
export const tokensPerEra = 100_000_000_000

/** Durations and intervals of a lease. */
export type LeaseSettings = {
  /** Lease duration: how long a renewal is valid. */
  readonly durationMs: number
  readonly renewEveryMs: number
  /**
   * Subtracted from the lease duration by the holder, so that its last promotion
   * order ends before the lease expires. Has to be longer than the timeout of an
   * order (`orderTimeoutMs` in daemon/leader-task) plus the drift of the clocks.
   */
  readonly marginMs: number
  /**
   * A host does not poll the lease if its last contact with a holder is more
   * recent than this.
   */
  readonly recentContactMs: number
  /**
   * Poll interval of a host without the lease that has no recent contact with
   * a holder.
   */
  readonly pollEveryMs: number
  /** The same, and the recency of a contact, for a host that is no watcher. */
  readonly distantPollEveryMs: number
  /** Additional delay of a takeover for each place in the ranking of candidates. */
  readonly rankDelayMs: number
}

/** Settings for a store that responds within milliseconds. */
export const defaultLeaseSettings: LeaseSettings = {
  durationMs: 2500,
  renewEveryMs: 700,
  marginMs: 500,
  recentContactMs: 1200,
  pollEveryMs: 400,
  distantPollEveryMs: 10_000,
  rankDelayMs: 250
}

type ObservedLease = {
  readonly record: LeaseRecord | undefined
  readonly version: number
  /** Time of the first response that showed this version. */
  readonly sinceMs: number
  /** Time of the last response that showed it. */
  readonly seenMs: number
}

/** A host's state of the lease. */
export type LeaseState = {
  readonly self: { readonly host: HostName, readonly incarnation: string }
  readonly settings: LeaseSettings
  /** Highest era of the store that this host has seen, and since when. */
  readonly era: number
  readonly eraSinceMs: number
  readonly observed: ObservedLease | undefined
  /** Set while this host holds the lease. */
  readonly held: { readonly token: number, readonly untilMs: number } | undefined
  /** A call to the store is in progress. */
  readonly callInProgress: boolean
  readonly nextCallMs: number
  /**
   * When another member last reported a new renewal, or, from a member that does not
   * report renewals, that it holds the lease.
   */
  readonly lastContactAtMs: number
  /** The last renewal that another member reported, and when it was first reported. */
  readonly reported: { readonly lease: LeaseRenewal, readonly sinceMs: number } | undefined
  /**
   * Rank among the candidates: watchers in the order of their names, and then all
   * other hosts with one common rank (`leaderRank` in daemon/proxy). Undefined
   * while this host is no candidate, for example while it stops.
   */
  readonly rank: number | undefined
  /**
   * Whether this host is a watcher, or no watcher responds. The other hosts rarely
   * read the lease and do not keep one that they acquired before they knew of a
   * watcher.
   */
  readonly isWatcher: boolean
}

/**
 * Events of the lease. Times are monotonic; the time of sending was read
 * before the call was sent.
 */
export type LeaseEvent =
  | { readonly kind: 'tick', readonly nowMs: number }
  /** `era`: that of the answer; undefined: 0. */
  | { readonly kind: 'read', readonly record: LeaseRecord | undefined, readonly version: number, readonly era?: number, readonly nowMs: number }
  | { readonly kind: 'written', readonly record: LeaseRecord, readonly version: number, readonly sentAtMs: number, readonly nowMs: number }
  /** The read or the write failed; a failed write may still take effect. */
  | { readonly kind: 'callFailed', readonly nowMs: number }
  /** Another member reported in a heartbeat or its answer that it holds the lease. */
  | { readonly kind: 'otherHolderReported', readonly lease: LeaseRenewal | undefined, readonly nowMs: number }
  /** An answer of the store had this era. */
  | { readonly kind: 'eraSeen', readonly era: number, readonly nowMs: number }
  /** This host stops. */
  | { readonly kind: 'release' }
  | { readonly kind: 'rankChanged', readonly rank: number | undefined, readonly isWatcher: boolean }

/** Effects of the lease: calls to the store. */
export type LeaseEffect =
  | { readonly kind: 'read' }
  | { readonly kind: 'write', readonly version: number, readonly record: LeaseRecord }

type Next = Transition<LeaseState, LeaseEffect>

/**
 * Creates the state of a host that has just started.
 * @param self - the host and its incarnation
 * @param settings - durations and intervals
 * @returns the initial state, without the lease
 */
export function initialLease (self: LeaseState['self'], settings: LeaseSettings = defaultLeaseSettings): LeaseState {
  return { self, settings, observed: undefined, held: undefined, callInProgress: false, nextCallMs: 0, lastContactAtMs: -Infinity, reported: undefined, rank: undefined, isWatcher: false, era: 0, eraSinceMs: -Infinity }
}

/**
 * Step function of the lease.
 * @param state - the current state
 * @param event - the event
 * @returns the next state and the effects
 */
export function leaseStep (state: LeaseState, event: LeaseEvent): Next {
  switch (event.kind) {
    case 'tick': return decideCall(expire(state, event.nowMs), event.nowMs)
    case 'read': return onRead(enterEra({ ...state, callInProgress: false }, event.era ?? 0, event.nowMs), event)
    case 'written': return withoutEffects(event.record.era === eraOf(state) ? recordWritten(state, event) : recordFailure(state, event.nowMs))
    // After a failed read or write the lease is read first: a write may have taken
    // effect. The wait for a takeover starts again with that read.
    case 'callFailed': return withoutEffects(recordFailure(state, event.nowMs))
    case 'eraSeen': return withoutEffects(enterEra(state, event.era, event.nowMs))
    case 'otherHolderReported': return withoutEffects(recordReport(state, event.lease, event.nowMs))
    case 'release': return release({ ...state, rank: undefined })
    // A host that becomes a candidate does not wait for the end of its long poll period.
    case 'rankChanged': return withoutEffects({ ...state, rank: event.rank, isWatcher: event.isWatcher, nextCallMs: event.isWatcher && !state.isWatcher ? Math.min(state.nextCallMs, 0) : state.nextCallMs })
  }
}

/**
 * Returns the fencing token if this host holds the lease. To be checked right
 * before each call that needs the lease.
 * @param state - the current state
 * @param nowMs - monotonic time
 * @returns the token; undefined once the lease has expired for this host
 */
export function heldToken (state: LeaseState, nowMs: number): number | undefined {
  return state.held !== undefined && nowMs < state.held.untilMs ? state.held.token : undefined
}

/**
 * Returns the time at which the next tick is due.
 * @param state - the current state
 * @returns monotonic time; Infinity while nothing is due before the next event
 */
export function leaseDueAtMs (state: LeaseState): number {
  const expiryMs = state.held?.untilMs ?? Infinity
  if (state.callInProgress || state.rank === undefined) return expiryMs
  const { observed } = state
  const readAtMs = Math.max(state.nextCallMs, contactValidUntilMs(state))
  if (observed === undefined) return Math.min(expiryMs, readAtMs)
  if (isHeldHere(state, observed.record)) return Math.min(expiryMs, state.nextCallMs)
  return Math.min(expiryMs, readAtMs, takeoverAtMs(state, observed, state.rank))
}

// The era as records carry it.
function eraOf ({ era }: LeaseState): number | undefined {
  return era === 0 ? undefined : era
}

// In a new era nothing that was read before counts, and the lease is not held.
function enterEra (state: LeaseState, era: number, nowMs: number): LeaseState {
  if (era <= state.era) return state
  return { ...state, era, eraSinceMs: nowMs, observed: undefined, reported: undefined, held: undefined, nextCallMs: nowMs }
}

// An answer of an earlier era is not used; the lease is read again.
function onRead (state: LeaseState, event: Extract<LeaseEvent, { readonly kind: 'read' }>): Next {
  if ((event.era ?? 0) < state.era) return withoutEffects(recordFailure(state, event.nowMs))
  return decideCall(recordRead(state, event.record, event.version, event.nowMs), event.nowMs)
}

function recordFailure (state: LeaseState, nowMs: number): LeaseState {
  return { ...state, callInProgress: false, observed: undefined, nextCallMs: nowMs + pollPeriodMs(state) }
}

// A host that is no watcher takes over only where all watchers are away, so it can
// find that out later.
function pollPeriodMs ({ settings, isWatcher }: LeaseState): number {
  return isWatcher ? settings.pollEveryMs : settings.distantPollEveryMs
}

function expire (state: LeaseState, nowMs: number): LeaseState {
  return state.held !== undefined && nowMs >= state.held.untilMs ? { ...state, held: undefined } : state
}

// Heartbeats of several members may arrive in another order than they were sent in.
function recordReport (state: LeaseState, lease: LeaseRenewal | undefined, nowMs: number): LeaseState {
  if (lease === undefined) return { ...state, lastContactAtMs: nowMs }
  if (state.reported !== undefined && !isLater(lease, state.reported.lease)) return state
  return { ...state, lastContactAtMs: nowMs, reported: { lease, sinceMs: nowMs } }
}

function isLater (a: LeaseRenewal, b: LeaseRenewal): boolean {
  return a.token > b.token || (a.token === b.token && a.renewal > b.renewal)
}

// Since when the lease is known to be as it was read.
function unchangedSinceMs (state: LeaseState, record: LeaseRecord | undefined, version: number, nowMs: number): number {
  const { observed, reported } = state
  if (observed?.version === version) return observed.sinceMs
  // A late write of an earlier era may have replaced the record of the present holder.
  if (isOfEarlierEra(state, record)) return nowMs
  const isReported = record !== undefined && reported?.lease.token === record.token && reported.lease.renewal === record.renewal
  return isReported ? reported.sinceMs : nowMs
}

function recordRead (state: LeaseState, record: LeaseRecord | undefined, version: number, nowMs: number): LeaseState {
  return { ...state, observed: { record, version, sinceMs: unchangedSinceMs(state, record, version, nowMs), seenMs: nowMs }, nextCallMs: nowMs + pollPeriodMs(state) }
}

function recordWritten (state: LeaseState, event: Extract<LeaseEvent, { readonly kind: 'written' }>): LeaseState {
  const { settings } = state
  const { record, version, sentAtMs, nowMs } = event
  return {
    ...state,
    callInProgress: false,
    observed: { record, version, sinceMs: nowMs, seenMs: nowMs },
    held: record.released ? undefined : { token: record.token, untilMs: sentAtMs + settings.durationMs - settings.marginMs },
    nextCallMs: sentAtMs + settings.renewEveryMs
  }
}

function decideCall (state: LeaseState, nowMs: number): Next {
  if (state.callInProgress || state.rank === undefined) return withoutEffects(state)
  const { observed } = state
  if (observed === undefined) return nowMs < state.nextCallMs || hasRecentContact(state, nowMs) ? withoutEffects(state) : startCall(state, { kind: 'read' })
  if (isHeldHere(state, observed.record)) {
    if (nowMs < state.nextCallMs) return withoutEffects(state)
    return state.isWatcher ? startCall(state, renewal(observed.version, observed.record)) : release(state)
  }
  // A lease that was last seen before its expiry may have been renewed since.
  const expiredAtMs = takeoverAtMs(state, observed, state.rank)
  if (nowMs >= expiredAtMs) return startCall(state, observed.seenMs >= expiredAtMs ? takeover(state, observed) : { kind: 'read' })
  return nowMs < state.nextCallMs || hasRecentContact(state, nowMs) ? withoutEffects(state) : startCall(state, { kind: 'read' })
}

function startCall (state: LeaseState, effect: LeaseEffect): Next {
  return { state: { ...state, callInProgress: true }, effects: [effect] }
}

function hasRecentContact (state: LeaseState, nowMs: number): boolean {
  return nowMs < contactValidUntilMs(state)
}

// A host that is no watcher hears of the holder only now and then.
function contactValidUntilMs ({ settings, isWatcher, lastContactAtMs }: LeaseState): number {
  return lastContactAtMs + (isWatcher ? settings.recentContactMs : settings.distantPollEveryMs)
}

// No record in an era above 0 may mean that the copy is older than the first one.
function isOfEarlierEra ({ era }: LeaseState, record: LeaseRecord | undefined): boolean {
  return (record?.era ?? 0) < era
}

function isHeldHere (state: LeaseState, record: LeaseRecord | undefined): record is LeaseRecord {
  return record !== undefined && !record.released && record.era === eraOf(state) && record.holder === state.self.host && record.incarnation === state.self.incarnation
}

// A lease of an earlier incarnation on this host needs no expiry: a host runs one
// process, so the earlier one has ended.
function takeoverAtMs (state: LeaseState, observed: ObservedLease, rank: number): number {
  const { record, sinceMs } = observed
  const { settings } = state
  if (isOfEarlierEra(state, record)) return Math.max(state.eraSinceMs, sinceMs) + settings.durationMs + rank * settings.rankDelayMs
  const isFree = record === undefined || record.released || record.holder === state.self.host
  const freeAtMs = isFree ? sinceMs : Math.max(sinceMs + settings.durationMs, contactValidUntilMs(state))
  return freeAtMs + rank * settings.rankDelayMs
}

function renewal (version: number, record: LeaseRecord): LeaseEffect {
  return { kind: 'write', version, record: { ...record, renewal: record.renewal + 1 } }
}

// The token is given up before the release is written, because another host may take
// the lease over as soon as it is.
function release (state: LeaseState): Next {
  const { observed } = state
  if (state.callInProgress || observed?.record === undefined || !isHeldHere(state, observed.record)) return withoutEffects({ ...state, held: undefined })
  const record = { ...observed.record, renewal: observed.record.renewal + 1, released: true }
  return startCall({ ...state, held: undefined }, { kind: 'write', version: observed.version, record })
}

function takeover (state: LeaseState, observed: ObservedLease): LeaseEffect {
  const { self: { host, incarnation }, era } = state
  const lowestToken = era === 0 ? 1 : era * tokensPerEra + observed.version + 1
  const token = Math.max((observed.record?.token ?? 0) + 1, lowestToken)
  return { kind: 'write', version: observed.version, record: { holder: host, incarnation, token, renewal: 1, released: false, ...(era === 0 ? {} : { era }) } }
}
