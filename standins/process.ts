// What all stand-in processes share: they say where they listen, end on a
// signal and tidy up.

import type { RunningStandin } from './platform.js'

/**
 * Says that a stand-in is ready and ends it on SIGTERM or SIGINT.
 * @param standin - the running stand-in
 */
export function serveUntilSignal (standin: RunningStandin): void {
  const end = (): void => {
    standin.stop().then(() => process.exit(0), () => process.exit(1))
  }
  process.once('SIGTERM', end)
  process.once('SIGINT', end)
  console.log(`listening ${standin.address.ip} ${standin.address.port}`)
}
