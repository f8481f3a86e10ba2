// What a command gives back. The main program turns it into output and exit
// code, so that commands write nothing themselves.

/** What became of a command. */
export type CommandResult =
  /** It did what was asked. */
  | { readonly kind: 'done', readonly output: readonly string[] }
  /** The input was right, the work failed. */
  | { readonly kind: 'failed', readonly errors: readonly string[] }
  /** The input, a file or the usage was wrong. */
  | { readonly kind: 'invalid', readonly errors: readonly string[] }
  /** The command ran a program of its own and decided on the exit code. */
  | { readonly kind: 'exited', readonly exitCode: number }

/** Exit codes of the program. */
export const exitCodes = { done: 0, failed: 1, invalid: 2 } as const

/**
 * The result of a command that did what was asked.
 * @param output - lines for the standard output
 * @returns the result
 */
export function done (...output: readonly string[]): CommandResult {
  return { kind: 'done', output }
}

/**
 * The result of a command whose work failed.
 * @param errors - lines for the standard error
 * @returns the result
 */
export function failed (...errors: readonly string[]): CommandResult {
  return { kind: 'failed', errors }
}

/**
 * The result of a command whose input is wrong.
 * @param errors - lines for the standard error
 * @returns the result
 */
export function invalid (...errors: readonly string[]): CommandResult {
  return { kind: 'invalid', errors }
}
