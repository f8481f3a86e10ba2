// The daemon: one proxy process.

import type { Settings } from '../config/index.js'
import { asError, type ProxyPorts } from '../ports/index.js'
import { startProxy } from './proxy.js'

export * from './proxy.js'

/**
 * Runs a proxy until SIGTERM or SIGINT stops the process. Further signals do not
 * shorten the stop.
 * @param settings - the settings of this host
 * @param ports - front end, database driver, store and sources of the proxy
 * @returns the exit code
 */
export async function runProxy (settings: Settings, ports: ProxyPorts): Promise<number> {
  const proxy = await startProxy(settings, ports)
  process.stdout.write(`listening ${settings.listen.callers.ip} ${proxy.callerPort}\n`)
  // The last resort for an error that no task caught: it is logged, and the callers
  // of all other tasks are served on.
  for (const event of ['uncaughtException', 'unhandledRejection'] as const) process.on(event, error => { proxy.recordError(asError(error)) })
  process.on('SIGHUP', () => { proxy.reload() })
  await new Promise<void>(resolve => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, () => { resolve() })
  })
  await proxy.stop()
  return 0
}
