// Polls for a condition instead of waiting for a fixed time.

const defaultTimeoutMs = 20_000
const pollDelayMs = 10

/**
 * Polls until a condition holds.
 * @param what - description of the condition, for the error on a time-out
 * @param poll - checks the condition; undefined or false means not yet
 * @param timeoutMs - time limit in milliseconds
 * @returns result of the last poll; throws an `Error` after the time limit
 */
export async function until<T> (what: string, poll: () => Promise<T | undefined | false> | T | undefined | false, timeoutMs = defaultTimeoutMs): Promise<T> {
  const deadlineMs = performance.now() + timeoutMs
  for (;;) {
    const result = await poll()
    if (result !== undefined && result !== false) return result
    if (performance.now() > deadlineMs) throw new Error(`timed out waiting for: ${what}`)
    await new Promise(resolve => { setTimeout(resolve, pollDelayMs) })
  }
}
