// Reads KNOWN-RED.txt and decides which failures count.

/** The verdict on the failed tests of one run. */
export type Verdict = {
  readonly passedOver: readonly string[]
  readonly unexpected: readonly string[]
}

/**
 * Lists the tests that are known to fail.
 * @param text - the file; each entry has a line `test: NAME`
 * @returns the names
 */
export function knownRedTests (text: string): readonly string[] {
  return text.split('\n')
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim())
}

/**
 * Parts failures that are known from those that are not.
 * @param failed - names of the tests that failed
 * @param known - names that KNOWN-RED.txt lists
 * @returns both parts
 */
export function verdict (failed: readonly string[], known: readonly string[]): Verdict {
  return {
    passedOver: failed.filter(name => known.includes(name)),
    unexpected: failed.filter(name => !known.includes(name))
  }
}
