// Runs a set of faulty links as a process. `PUT /links/NAME` creates and controls
// links; the initial ones may be given on the command line.

import { parseArgs } from 'node:util'
import { startFaultyLinks } from './faulty-link.js'
import { serveUntilSignal } from './process.js'

const { values } = parseArgs({
  options: {
    ip: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' },
    // NAME=LISTEN_IP:PORT=TO_IP:PORT
    link: { type: 'string', multiple: true, default: [] }
  }
})

const links = await startFaultyLinks({ ip: values.ip, port: Number(values.port) })
for (const link of values.link) {
  const [name = '', listen, to] = link.split('=')
  const made = await fetch(`http://${links.address.ip}:${links.address.port}/links/${encodeURIComponent(name)}`, {
    method: 'PUT',
    body: JSON.stringify({ listen, to })
  })
  if (!made.ok) throw new Error(`link ${name} was not created: ${await made.text()}`)
}
serveUntilSignal(links)
