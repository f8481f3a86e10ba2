// Durations and bounds of the rate limits. Loans to an account's coordinator
// last longer than the loans that it makes from them, so that the quota it
// lends stays covered. To aggregate quota means that the coordinator borrows it
// from its owners in order to re-lend it (purpose `collect`).

/** Duration of a loan to an account's coordinator. */
export const coordinatorLoanMs = 2000
/** Time between two requests of a coordinator to the same lender. */
export const aggregationPeriodMs = 1000
/** Duration of a loan from an account's coordinator. */
export const hostLoanMs = 900
/** Duration of a loan of tokens without a rate. */
export const tokenLoanMs = 150
/** A loan is renewed when it expires within this time. */
export const renewBeforeMs = 200
/** Time by which a lender extends its own record of a loan, to allow for clock drift. */
export const lenderMarginMs = 25
/**
 * Time in which a new or restarted owner does not use a partition: longer than
 * any loan of the previous owner.
 */
export const partitionHandoverMs = 2300
/**
 * Time after a change of the division in which the smaller of old and new quota
 * applies: longer than a host without a new confirmation uses the old manifest.
 */
export const divisionChangeDelayMs = 8000
/** A coordinator continues to aggregate quota for this time after the last shortage. */
export const aggregationIdleMs = 30_000
/** Timeout of a request to a lender. */
export const answerTimeoutMs = 150
/**
 * A borrower retains capacity for the tokens that accrue in this time, while it
 * waits for an answer.
 */
export const answerHeadroomMs = 20
/**
 * Time that a request waits for a token even if all lenders have answered that
 * they have none.
 */
export const minWaitMs = 45
/** Maximum time that a request waits for a token while answers from lenders are outstanding. */
export const maxWaitMs = 250
/** Time for which a borrower's unmet demand makes the coordinator aggregate urgently. */
export const unmetDemandMs = 20
/**
 * Time that a delegated request has spent on its way to the dispatcher and back, at
 * most; it waits for that much less. Hops between failure domains take 1 to 3 ms.
 */
export const hopAllowanceMs = 10
/**
 * Time for which a host borrows after a dispatcher has refused a statement of the
 * account for its rate: about the time in which its demand is smoothed.
 */
export const delegationPauseMs = 1000
/** Maximum number of waiting requests of one account on one host. */
export const maxWaitingRequests = 256
/** Time between two requests for quota while no caller's request waits. */
export const requestPeriodMs = 100
/** Initial and maximum back-off between two requests for quota while callers' requests wait. */
export const backoffMs: { readonly initial: number, readonly max: number } = { initial: 5, max: 160 }
/** Period of the ticks while a request waits for a token. */
export const limitsTickMs = 10
/** Period of the ticks while none waits: half of `renewBeforeMs`. */
export const idleTickMs = 100
