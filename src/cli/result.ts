// Results of commands. Commands write no output themselves; the main module
// converts a result to output and exit code.

/** Result of a command. */
export type CommandResult =
  /** The command succeeded. */
  | { readonly kind: 'done', readonly output: readonly string[] }
  /** The input was valid, but the operation failed. */
  | { readonly kind: 'failed', readonly errors: readonly string[] }
  /** The arguments or an input file are invalid. */
  | { readonly kind: 'invalid', readonly errors: readonly string[] }
  /** The command ran the daemon, which set the exit code. */
  | { readonly kind: 'exited', readonly exitCode: number }

/** Exit codes of the program. */
export const exitCodes = { done: 0, failed: 1, invalid: 2 } as const

/**
 * Creates the result of a command that succeeded.
 * @param output - lines for standard output
 * @returns the result
 */
export function done (...output: readonly string[]): CommandResult {
  return { kind: 'done', output }
}

/**
 * Creates the result of a command whose operation failed.
 * @param errors - lines for standard error
 * @returns the result
 */
export function failed (...errors: readonly string[]): CommandResult {
  return { kind: 'failed', errors }
}

/**
 * Creates the result of a command with invalid input.
 * @param errors - lines for standard error
 * @returns the result
 */
export function invalid (...errors: readonly string[]): CommandResult {
  return { kind: 'invalid', errors }
}
