// Runs the stand-in of a database server as a process.

import { parseArgs } from 'node:util'
import type { Address } from '../src/model/index.js'
import { startDatabase } from './database.js'
import type { InitialRole } from './database/server.js'
import { serveUntilSignal } from './process.js'

const { values } = parseArgs({
  options: {
    ip: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' },
    server: { type: 'string', default: 'server' },
    // Servers of the group as NAME=IP:PORT, comma-separated.
    servers: { type: 'string', default: '' },
    // Name of the initial primary; if it is empty, the server starts unfenced
    // and follows no primary.
    'initial-primary': { type: 'string', default: '' },
    // Addresses to use for other servers as IP:PORT=IP:PORT, comma-separated.
    via: { type: 'string', default: '' },
    user: { type: 'string', default: 'service' },
    password: { type: 'string', default: 'service-password' },
    slots: { type: 'string', default: '5' },
    'max-connections': { type: 'string', default: '75' },
    'connect-delay-ms': { type: 'string', default: '10' },
    'service-ms': { type: 'string', default: '1' },
    'lag-ms': { type: 'string', default: '0' },
    'lock-wait-ms': { type: 'string', default: '5000' },
    'idle-transaction-ms': { type: 'string', default: '30000' }
  }
})

function parseAddress (text: string): Address {
  const [ip, port] = text.split(':')
  if (ip === undefined || port === undefined) throw new Error(`invalid address, IP:PORT expected: ${text}`)
  return { ip, port: Number(port) }
}

function parseAddresses (text: string): ReadonlyMap<string, Address> {
  const pairs = text.split(',').filter(pair => pair !== '').map(pair => pair.split('='))
  return new Map(pairs.map(([name, address]) => [name ?? '', parseAddress(address ?? '')]))
}

function initialRole (): InitialRole {
  const primary = values['initial-primary']
  if (primary === values.server) return { kind: 'primary' }
  const source = parseAddresses(values.servers).get(primary)
  return source === undefined ? { kind: 'standalone' } : { kind: 'replica', source }
}

serveUntilSignal(await startDatabase({
  listen: { ip: values.ip, port: Number(values.port) },
  credentials: { user: values.user, password: values.password },
  server: {
    server: values.server,
    slots: Number(values.slots),
    maxConnections: Number(values['max-connections']),
    lockWaitMs: Number(values['lock-wait-ms']),
    idleTransactionMs: Number(values['idle-transaction-ms'])
  },
  tuning: {
    lagMs: Number(values['lag-ms']),
    serviceMs: Number(values['service-ms']),
    connectDelayMs: Number(values['connect-delay-ms'])
  },
  initialRole: initialRole(),
  linkAddresses: parseAddresses(values.via)
}))
