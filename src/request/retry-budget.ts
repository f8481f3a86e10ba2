// Retry budget of a host: a token bucket that first attempts fill. Under overload most
// attempts fail, and without a bound the retries add to the load that made them fail.
// A minimum rate and the capacity leave room for the retries after the loss of a server,
// when there are few first attempts.

/** Settings of a retry budget. */
export type RetryBudgetSettings = {
  /** Retries that each first attempt allows. */
  readonly fraction: number
  /** Retries a second that are allowed without first attempts. */
  readonly minPerS: number
}

/** State of a retry budget. Times are monotonic. */
export type RetryBudget = {
  readonly settings: RetryBudgetSettings
  readonly tokens: number
  readonly updatedAtMs: number
}

/** Result of asking for a retry. */
export type RetryGrant = { readonly budget: RetryBudget, readonly isGranted: boolean }

/**
 * Most retries that are saved: those of the statements that one lost server may have in
 * progress at a host.
 */
const capacity = 100

/** Default settings. */
export const defaultRetryBudget: RetryBudgetSettings = { fraction: 0.2, minPerS: 10 }

/**
 * Creates a full budget.
 * @param settings - fraction and minimum rate
 * @param nowMs - monotonic time
 * @returns the budget
 */
export function initialRetryBudget (settings: RetryBudgetSettings, nowMs: number): RetryBudget {
  return { settings, tokens: capacity, updatedAtMs: nowMs }
}

/**
 * Adds what one first attempt allows.
 * @param budget - the budget
 * @returns the budget with the fraction of a retry
 */
export function withFirstAttempt (budget: RetryBudget): RetryBudget {
  return { ...budget, tokens: Math.min(capacity, budget.tokens + budget.settings.fraction) }
}

/**
 * Takes one retry.
 * @param budget - the budget
 * @param nowMs - monotonic time
 * @returns the budget, and whether the retry may be made
 */
export function takeRetry (budget: RetryBudget, nowMs: number): RetryGrant {
  const accruedMs = Math.max(0, nowMs - budget.updatedAtMs)
  const tokens = Math.min(capacity, budget.tokens + accruedMs / 1000 * budget.settings.minPerS)
  const isGranted = tokens >= 1
  return { budget: { ...budget, tokens: isGranted ? tokens - 1 : tokens, updatedAtMs: Math.max(nowMs, budget.updatedAtMs) }, isGranted }
}
