// Loans. A loan is quota that is granted until an expiry time. Lender and
// borrower each keep a list of the loans between them; the largest rate and the
// largest capacity of the unexpired loans apply. The borrower counts the
// duration from the moment it sent the request, the lender from the moment it
// answered, plus a margin. An answer that is lost or late leaves the loan in
// the lender's list only. The lender therefore always accounts for at least the
// quota that the borrower may use, whichever messages are lost and whichever
// processes fail.

import type { Quota } from '../model/index.js'
import { maxQuota, noQuota, minQuota } from './quota.js'

/** Quota that is granted until an expiry time. */
export type Loan = Quota & {
  readonly expiresMs: number
  /** Sequence number of the request that the loan answers. */
  readonly sequence: number
}

/**
 * Computes the quota that a list of loans grants at a given time.
 * @param loans - the loans between one lender and one borrower
 * @param atMs - the time
 * @returns the largest rate and capacity of the unexpired loans
 */
export function loanedQuota (loans: readonly Loan[], atMs: number): Quota {
  return loans.reduce<Quota>((largest, loan) => loan.expiresMs > atMs ? maxQuota(largest, loan) : largest, noQuota)
}

/**
 * Reduces all loans to a maximum quota.
 * @param loans - the loans
 * @param cap - the maximum quota
 * @returns the loans, none above the maximum
 */
export function capLoans (loans: readonly Loan[], cap: Quota): readonly Loan[] {
  return loans.map(loan => ({ ...loan, ...minQuota(loan, cap) }))
}

/**
 * Adds a loan and removes loans that it covers or that have expired.
 * @param loans - the loans so far
 * @param added - the new loan
 * @param nowMs - the time
 * @returns the updated loans
 */
export function withLoan (loans: readonly Loan[], added: Loan, nowMs: number): readonly Loan[] {
  const kept = loans.filter(loan => loan.expiresMs > nowMs && !isCovered(loan, added))
  return [...kept, added]
}

function isCovered (loan: Loan, by: Loan): boolean {
  return loan.expiresMs <= by.expiresMs && loan.ratePerS <= by.ratePerS && loan.capacity <= by.capacity
}
