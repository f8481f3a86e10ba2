// Times and bounds of the limit mechanism. Loans to an account's home hold
// longer than those that it lends on, so that what it lends stays covered.

/** Time that a loan to an account's home holds. */
export const coordinatorLoanMs = 2000
/** Time between two requests of a home to one lender. */
export const aggregationPeriodMs = 1000
/** Time that a loan from an account's home holds. */
export const hostLoanMs = 900
/** Time that a loan of tokens without a rate holds. */
export const tokenLoanMs = 150
/** A loan is renewed when less than this is left of it. */
export const renewBeforeMs = 200
/** What a lender adds to the time of a loan, for clocks that run unequally. */
export const lenderMarginMs = 25
/** Time in which a new or restarted holder does not use a seat: longer than any loan of the holder before. */
export const partitionHandoverMs = 2300
/** Time in which a changed division holds the smaller of old and new shares: longer than an unconfirmed host goes on by the old manifest. */
export const divisionChangeDelayMs = 8000
/** A home goes on collecting for this long after somebody was short. */
export const aggregationIdleMs = 30_000
/** An unanswered request is given up after this. */
export const answerTimeoutMs = 150
/** A borrower keeps room for the tokens that come in while it awaits an answer. */
export const answerHeadroomMs = 20
/** How long a request waits for a token that lenders say they do not have. */
export const minWaitMs = 45
/** How long a request may wait for a token while lenders have not answered. */
export const maxWaitMs = 250
/** How long a borrower's shortage makes its home collect urgently. */
export const unmetDemandMs = 20
/** Requests of one account that may wait on one host. */
export const maxWaitingRequests = 256
/** Time between two requests for more where nobody waits. */
export const requestPeriodMs = 100
/** First and longest time between two requests while somebody waits. */
export const backoffMs: { readonly initial: number, readonly max: number } = { initial: 5, max: 160 }
/** Period of the ticks that the limits need. */
export const limitsTickMs = 10
