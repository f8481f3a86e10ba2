// Runs the stand-in of the platform as a process.

import { parseArgs } from 'node:util'
import { startPlatform } from './platform.js'
import { serveUntilSignal } from './process.js'

const { values } = parseArgs({
  options: {
    ip: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' }
  }
})

serveUntilSignal(await startPlatform({ ip: values.ip, port: Number(values.port) }))
