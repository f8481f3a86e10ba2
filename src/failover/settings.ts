// Settings of failover. The defaults aim at a gap in service well under a
// second; every time is in milliseconds of the home's monotonic clock.

/**
 * Who orders promotions, and what a fence is worth then.
 * `byServers`: a fence is conditional on the term, lasts, and only the proposer
 * that fenced a majority can promote. `byDuty`: one host holds the duty, so no
 * rival is feared; a fence pauses a replica until it is told to go on or
 * restarts, and the term is the one after that of the log.
 */
export type PromotionMethodKind = 'byServers' | 'byDuty'

/** Settings of failover. */
export type FailoverSettings = {
  readonly promotionMethod: PromotionMethodKind
  /** A server that gave no sign of life for this time is probed. */
  readonly probeEveryMs: number
  /** A probe without an answer for this time is overdue. */
  readonly probeTimeoutMs: number
  /** Refused probes in a row after which a server counts as dead. */
  readonly refusedUntilDead: number
  /** Failed probes of any kind in a row after which a server counts as dead. */
  readonly failedUntilDead: number
  /** A server counts as reachable for this time after a sign of life. */
  readonly reachableForMs: number
  /** A silent primary is alive while its replicas received entries this recently. */
  readonly progressHoldMs: number
  /** Each home waits this long for the homes before it in rank. */
  readonly rankDelayMs: number
  /** Time given to a proposal of another home to end. */
  readonly settleMs: number
  /** A step without an answer is sent again after this time. */
  readonly resendEveryMs: number
  /** A proposal that is not through after this time is given up. */
  readonly stepTimeoutMs: number
  /** Time given to the slower servers once a majority accepted the fence. */
  readonly fenceGraceMs: number
  /** Time given to replicas to receive everything from a leaving primary. */
  readonly drainTimeoutMs: number
  /** A leaving server that had to lead again is replaced after this time. */
  readonly leavingRetryMs: number
  /** A proposal that failed is followed by another within this random time. */
  readonly retrySpreadMs: number
  /** A server out of line is told to follow the primary this often. */
  readonly followEveryMs: number
  /** A longer time between two ticks means that this host was paused. */
  readonly ownPauseMs: number
}

/** Settings that keep the gap in service under a second. */
export const defaultFailoverSettings: FailoverSettings = {
  promotionMethod: 'byServers',
  probeEveryMs: 100,
  probeTimeoutMs: 250,
  refusedUntilDead: 2,
  failedUntilDead: 2,
  reachableForMs: 600,
  progressHoldMs: 250,
  rankDelayMs: 300,
  settleMs: 300,
  resendEveryMs: 150,
  stepTimeoutMs: 900,
  fenceGraceMs: 30,
  drainTimeoutMs: 150,
  leavingRetryMs: 2000,
  retrySpreadMs: 300,
  followEveryMs: 400,
  ownPauseMs: 400
}

/** Settings for a platform that promotes on the order of the duty's holder, some hundred milliseconds after the order. */
export const leaderFailoverSettings: FailoverSettings = {
  ...defaultFailoverSettings,
  promotionMethod: 'byDuty',
  probeEveryMs: 500,
  settleMs: 0,
  stepTimeoutMs: 1500,
  resendEveryMs: 600
}
