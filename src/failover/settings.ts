// Settings of failover. The defaults aim at an outage of well under a second
// at a change of primary. Durations are measured on the dispatcher's monotonic
// clock.

/**
 * How a promotion is authorized, which determines what a fence guarantees.
 * `byQuorum`: a fence is conditional on the term and permanent, and the
 * servers accept a promotion only from the proposer that fenced a majority.
 * `byLeader`: the platform accepts the order of the failover leader, the one host
 * that holds the leader lease, so no competing proposer exists; a fence pauses
 * a replica until it is resumed or restarts, and the new term is the one after
 * the term of the log.
 */
export type PromotionMethodKind = 'byQuorum' | 'byLeader'

/** Settings of failover. */
export type FailoverSettings = {
  readonly promotionMethod: PromotionMethodKind
  /** A server without a contact for this time is probed. */
  readonly probeEveryMs: number
  /** Interval of further probes to a server whose last probe failed. */
  readonly reprobeEveryMs: number
  /** A probe that has no answer after this time is overdue. */
  readonly probeTimeoutMs: number
  /** Consecutive refused probes after which a server counts as dead. */
  readonly deadAfterRefusals: number
  /** Consecutive failed probes of any kind after which a server counts as dead. */
  readonly deadAfterFailures: number
  /** A server counts as reachable for this time after a contact. */
  readonly reachableForMs: number
  /** An overdue primary counts as alive if a replica received entries within this time. */
  readonly replicaProgressMs: number
  /** Delay of a dispatcher for each dispatcher that ranks before it. */
  readonly rankDelayMs: number
  /**
   * Time allowed for another dispatcher's proposal to finish, counted from the
   * first status with its higher term; the rank delay is added.
   */
  readonly rivalTimeoutMs: number
  /** A call without an answer is sent again after this time. */
  readonly resendEveryMs: number
  /** A fencing or promotion step that is not complete after this time fails. */
  readonly stepTimeoutMs: number
  /** Time allowed for slower servers to answer once a majority has accepted the fence. */
  readonly fenceGraceMs: number
  /** Time allowed for a replica to receive the remaining entries of a primary that is decommissioned. */
  readonly drainTimeoutMs: number
  /**
   * Time from the start of replacing a decommissioned primary in which no other
   * proposal starts, whatever its reason: the promoted server may be
   * decommissioned, too. An attempt that fails is retried within
   * `retryJitterMs` instead.
   */
  readonly decommissionRetryMs: number
  /** Upper bound of the random delay before the retry of a failed proposal. */
  readonly retryJitterMs: number
  /** Interval of `follow` calls to a server that does not follow the primary. */
  readonly followEveryMs: number
  /** A longer interval between two ticks means that this host was paused. */
  readonly localPauseMs: number
}

/** Settings that keep the outage at a change of primary under a second. */
export const defaultFailoverSettings: FailoverSettings = {
  promotionMethod: 'byQuorum',
  probeEveryMs: 100,
  reprobeEveryMs: 100,
  probeTimeoutMs: 250,
  deadAfterRefusals: 2,
  deadAfterFailures: 2,
  reachableForMs: 600,
  replicaProgressMs: 250,
  rankDelayMs: 300,
  rivalTimeoutMs: 300,
  resendEveryMs: 150,
  stepTimeoutMs: 900,
  fenceGraceMs: 30,
  drainTimeoutMs: 150,
  decommissionRetryMs: 2000,
  retryJitterMs: 300,
  followEveryMs: 400,
  localPauseMs: 400
}

/**
 * Settings for a platform that promotes on the failover leader's order, some
 * hundred milliseconds after the order. The leader hears of most servers from the
 * hosts that watch them: a status is up to 600 ms old when the watching host repeats
 * it, and reaches the leader within 400 ms. A server without a contact for longer
 * than that is probed; a connection lost anywhere requests a probe at once.
 */
export const leaderFailoverSettings: FailoverSettings = {
  ...defaultFailoverSettings,
  promotionMethod: 'byLeader',
  probeEveryMs: 1200,
  reprobeEveryMs: 500,
  reachableForMs: 1300,
  rivalTimeoutMs: 0,
  stepTimeoutMs: 1500,
  resendEveryMs: 600
}
