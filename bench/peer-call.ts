// Prints the processor time of one `execute` between two proxies, both ends in this
// process. Calls come some milliseconds apart, as on a small host, where most code
// is not compiled yet. The folder of another build may be given, to compare.

import { setTimeout as delay } from 'node:timers/promises'
import { pathToFileURL } from 'node:url'
import type { ExecuteReply, ExecuteRequest } from '../src/model/index.js'
import type * as Pipe from '../src/pipe/index.js'
import type * as Link from '../src/wire/peer-link.js'

const calls = 600
const warmUpCalls = 5
const spacingMs = 4
const timeoutMs = 1500

const request: ExecuteRequest = {
  from: 'entry-1',
  database: 'orders',
  server: 's1',
  account: 'bindery',
  weight: 1,
  statement: { id: 'q1', text: 'READ item-1', prepared: undefined },
  values: {},
  mode: { kind: 'read', freshness: { kind: 'floor', position: { term: 1, index: 4 } } },
  remainingMs: 1500
}
const reply: ExecuteReply = {
  outcome: { kind: 'answered', answer: { kind: 'signed', rows: ['item-1 x'], signature: '9f86d081884c7d65' }, position: { term: 1, index: 4 }, servedBy: 'primary' },
  transaction: undefined,
  primary: { database: 'orders', term: 1, primary: 's1' },
  newest: undefined,
  applied: { term: 1, index: 4 }
}

async function usedMs (work: () => Promise<void>): Promise<number> {
  const before = process.cpuUsage()
  for (let done = 0; done < calls; done += 1) {
    await work()
    await delay(spacingMs)
  }
  const { user, system } = process.cpuUsage(before)
  return (user + system) / 1000
}

const build = pathToFileURL(`${process.argv[2] ?? 'dist'}/src/`)
const { listenForPeers, peerClient } = await import(new URL('wire/peer-link.js', build).href) as typeof Link
const { systemTimers } = await import(new URL('pipe/index.js', build).href) as typeof Pipe

const listener = await listenForPeers({ ip: '127.0.0.1', port: 0 }, { execute: async () => reply } as unknown as Parameters<typeof listenForPeers>[1], undefined, error => { throw error })
const timers = systemTimers()
const client = peerClient({ ip: '127.0.0.1', port: listener.port }, timers, undefined)
const call = async (): Promise<void> => { await client.call('execute', request, timeoutMs) }
for (let done = 0; done < warmUpCalls; done += 1) await call()
const withCallsMs = await usedMs(call)
const withoutMs = await usedMs(async () => {})
console.log(`${((withCallsMs - withoutMs) * 1000 / calls).toFixed(0)} microseconds of processor time a call`)
client.close()
listener.close()
timers.stop()
