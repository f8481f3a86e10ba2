// Shared by all stand-in processes: they print their listen address, and stop
// and clean up on a signal.

import type { RunningStandin } from './platform.js'

/**
 * Prints the address of a stand-in and stops it on SIGTERM or SIGINT.
 * @param standin - the running stand-in
 */
export function serveUntilSignal (standin: RunningStandin): void {
  const stop = (): void => {
    standin.stop().then(() => process.exit(0), () => process.exit(1))
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
  console.log(`listening ${standin.address.ip} ${standin.address.port}`)
}
