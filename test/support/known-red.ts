// Reads KNOWN-RED.txt and separates known test failures from others.

/** Names of the failed tests of one run. */
export type ClassifiedFailures = {
  /** Listed in KNOWN-RED.txt; they do not fail the run. */
  readonly passedOver: readonly string[]
  readonly unexpected: readonly string[]
}

/**
 * Lists the tests that are known to fail.
 * @param text - content of KNOWN-RED.txt; each entry has a line `test: NAME`
 * @returns the test names
 */
export function knownRedTests (text: string): readonly string[] {
  return text.split('\n')
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim())
}

/**
 * Separates known failures from unexpected ones.
 * @param failed - names of the tests that failed
 * @param known - names listed in KNOWN-RED.txt
 * @returns both groups of names
 */
export function classifyFailures (failed: readonly string[], known: readonly string[]): ClassifiedFailures {
  return {
    passedOver: failed.filter(name => known.includes(name)),
    unexpected: failed.filter(name => !known.includes(name))
  }
}
