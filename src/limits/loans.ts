// Loans. A loan is a share that is held for a time. Lender and borrower both
// keep a list of the loans between them and count the largest that is in time.
// The borrower counts the time from when it asked, the lender from when it
// answered and with a margin; an answer that is lost or late leaves a loan in
// the lender's list only. So the lender always counts at least what the
// borrower may use, whatever happens to messages and processes.

import type { Quota } from '../model/index.js'
import { larger, noShare, smaller } from './quota.js'

/** A share that is held until a time. */
export type Loan = Quota & {
  readonly expiresMs: number
  /** Sequence of the request that it answers. */
  readonly sequence: number
}

/**
 * What a list of loans holds at a time.
 * @param loans - the loans between one lender and one borrower
 * @param atMs - the time
 * @returns the largest share that is in time
 */
export function heldAt (loans: readonly Loan[], atMs: number): Quota {
  return loans.reduce<Quota>((held, loan) => loan.expiresMs > atMs ? larger(held, loan) : held, noShare)
}

/**
 * Gives back a part of all loans.
 * @param loans - the loans
 * @param share - what is kept
 * @returns the loans, none above the share
 */
export function limitTo (loans: readonly Loan[], share: Quota): readonly Loan[] {
  return loans.map(loan => ({ ...loan, ...smaller(loan, share) }))
}

/**
 * Adds a loan and forgets those that it covers or that are over.
 * @param loans - the loans so far
 * @param added - the new loan
 * @param nowMs - the time
 * @returns the loans then
 */
export function withLoan (loans: readonly Loan[], added: Loan, nowMs: number): readonly Loan[] {
  const kept = loans.filter(loan => loan.expiresMs > nowMs && !isCovered(loan, added))
  return [...kept, added]
}

function isCovered (loan: Loan, by: Loan): boolean {
  return loan.expiresMs <= by.expiresMs && loan.ratePerS <= by.ratePerS && loan.capacity <= by.capacity
}
