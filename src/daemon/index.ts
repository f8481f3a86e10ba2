// The daemon: one proxy process.

import type { Settings } from '../config/index.js'
import { startProxy } from './proxy.js'

export * from './proxy.js'
export { manifestObject } from './configuration-task.js'

/**
 * Runs a proxy until the process is told to stop by SIGTERM or SIGINT.
 * @param settings - the settings of this host
 * @returns the exit code
 */
export async function runProxy (settings: Settings): Promise<number> {
  const proxy = await startProxy(settings)
  process.stdout.write(`listening ${settings.host.ip} ${proxy.mysqlPort}\n`)
  await new Promise<void>(resolve => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => { resolve() })
  })
  await proxy.stop()
  return 0
}
