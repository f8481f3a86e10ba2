// Maps outcomes to MySQL errors. The prefix of the message distinguishes
// requests that were not run, whose outcome is unknown, or that failed; an
// error of the database itself is passed through unchanged. Messages contain the
// codes of src/model/outcome.ts, which explains them.

import type { NotRunReason, Outcome } from '../model/index.js'

/**
 * Returns the MySQL error number for an outcome.
 * @param outcome - the outcome; not `answered`
 * @returns the error number
 */
export function errorNumberOf (outcome: Outcome): number {
  switch (outcome.kind) {
    case 'refused': return outcome.errorNumber
    case 'notRun': return notRunErrorNumber(outcome.reason)
    case 'answered':
    case 'failed':
    case 'unknown': return 1105
  }
}

function notRunErrorNumber (reason: NotRunReason): number {
  switch (reason) {
    case 'badKey':
    case 'keyWithdrawn': return 1045
    case 'routeForbidden': return 1044
    case 'routeUnknown': return 1049
    case 'unsupported': return 1235
    case 'rateExceeded': return 1226
    case 'statementTooLong': return 1153
    case 'stopping': return 1053
    case 'hintMalformed':
    case 'statementHoldsKey':
    case 'queueFull':
    case 'overloaded':
    case 'deadlinePassed':
    case 'unconfirmedConfiguration':
    case 'noPrimary':
    case 'noServer':
    case 'leaving':
    case 'wrongHome':
    case 'behind':
    case 'serverBusy':
    case 'preparedUnknown':
    case 'transactionFailed':
    case 'transactionLost': return 1105
  }
}

/**
 * Returns the error message for an outcome.
 * @param outcome - the outcome; not `answered`
 * @returns the message, which contains no key
 */
export function messageOf (outcome: Outcome): string {
  switch (outcome.kind) {
    case 'answered': return ''
    case 'refused': return outcome.message
    case 'failed': return `failed: ${outcome.detail}`
    case 'notRun': return `not run (${outcome.reason}): ${outcome.detail}`
    case 'unknown': return `outcome unknown (${outcome.reason}): ${outcome.detail}`
  }
}
