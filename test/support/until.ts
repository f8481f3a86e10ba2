// Waits for a condition instead of a time.

const defaultTimeoutMs = 20_000
const betweenLooksMs = 10

/**
 * Looks again and again until something holds.
 * @param what - said in the error where it never does
 * @param holds - looks; undefined or false means not yet
 * @param timeoutMs - when to give up
 * @returns what the last look gave
 */
export async function until<T> (what: string, holds: () => Promise<T | undefined | false> | T | undefined | false, timeoutMs = defaultTimeoutMs): Promise<T> {
  const deadlineMs = performance.now() + timeoutMs
  for (;;) {
    const seen = await holds()
    if (seen !== undefined && seen !== false) return seen
    if (performance.now() > deadlineMs) throw new Error(`not in time: ${what}`)
    await new Promise(resolve => { setTimeout(resolve, betweenLooksMs) })
  }
}
