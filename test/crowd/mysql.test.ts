// Crowds at the MySQL front end, before and after login. Each test guards against a
// process that runs out of memory or descriptors, or no longer serves an ordinary
// caller, because of one pattern.

import type net from 'node:net'
import { test, type TestContext } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { connectCaller } from '../../standins/set/caller.js'
import type { LocalSet } from '../../standins/set/local-set.js'
import { checkCrowd, openSockets, sendInPieces, smallHeapFlags, spareDescriptors, type Subject } from '../support/crowd.js'
import { loginOf } from '../support/load.js'
import { proxyAt, startServingSet, tolerantControlSettings } from '../support/local-set.js'

const maxConnections = 200
const maxDescriptors = maxConnections + spareDescriptors
const maxStatementBytes = 1_000_000
const crowd = 180
const queryCode = 3

async function crowdSet (t: TestContext): Promise<LocalSet> {
  const settings = { control: tolerantControlSettings, limits: { max_connections: maxConnections, max_statement_bytes: maxStatementBytes } }
  return await startServingSet(t, { hosts: 1, runtimeFlags: smallHeapFlags, settings })
}

function subjectOf (set: LocalSet): Subject {
  const { process } = proxyAt(set, 0)
  const state = { isAlive: true }
  void process.exited.then(() => { state.isAlive = false })
  return {
    pid: process.pid,
    isAlive: () => state.isAlive,
    serve: async () => {
      const caller = await connectCaller(proxyAt(set, 0).mysql, loginOf(set))
      const rows = await caller.rows('SELECT 1 AS one').finally(() => { caller.close() })
      return rows.length === 1
    },
    output: () => process.output().slice(-12).join('\n')
  }
}

function portOf (set: LocalSet): number {
  return proxyAt(set, 0).mysql.port
}

/** Opens sessions and returns their sockets; those that are refused are left out. */
async function openSessions (t: TestContext, set: LocalSet, count: number): Promise<readonly net.Socket[]> {
  const sockets: net.Socket[] = []
  for (let at = 0; at < count; at += 1) {
    const caller = await connectCaller(proxyAt(set, 0).mysql, loginOf(set)).catch(() => undefined)
    if (caller === undefined) continue
    t.after(() => { caller.close() })
    const { stream } = (caller.connection as unknown as { readonly connection: { readonly stream: net.Socket } }).connection
    stream.removeAllListeners('data')
    stream.pause()
    sockets.push(stream)
  }
  return sockets
}

/** A packet whose header announces `announcedBytes`, of which `sentBytes` follow. */
function packet (sequence: number, code: number, announcedBytes: number, sentBytes: number): Buffer {
  const bytes = Buffer.alloc(4 + sentBytes, 'x')
  bytes.writeUIntLE(announcedBytes, 0, 3)
  bytes.writeUInt8(sequence, 3)
  bytes.writeUInt8(code, 4)
  return bytes
}

test('mysql: before login, large packets that stop half-way leave the host serving', async t => {
  const set = await crowdSet(t)
  await checkCrowd(subjectOf(set), maxDescriptors, async () => {
    const sockets = await openSockets(t, portOf(set), crowd)
    for (const socket of sockets) socket.write(packet(1, 0, maxStatementBytes, maxStatementBytes - 1000))
  })
})

test('mysql: after login, large packets that stop half-way leave the host serving', async t => {
  const set = await crowdSet(t)
  await checkCrowd(subjectOf(set), maxDescriptors, async () => {
    const sockets = await openSessions(t, set, crowd)
    for (const socket of sockets) socket.write(packet(0, queryCode, maxStatementBytes, maxStatementBytes - 1000))
  })
})

test('mysql: large packets in small pieces, all at once, leave the host serving', async t => {
  const set = await crowdSet(t)
  await checkCrowd(subjectOf(set), maxDescriptors, async () => {
    const sockets = await openSessions(t, set, crowd)
    const text = packet(0, queryCode, maxStatementBytes, maxStatementBytes - 1000).toString('latin1')
    await Promise.all(sockets.map(async socket => { await sendInPieces(socket, text, 2000) }))
  })
})

test('mysql: many whole packets of legal size at once leave the host serving', async t => {
  const set = await crowdSet(t)
  await checkCrowd(subjectOf(set), maxDescriptors, async () => {
    const sockets = await openSessions(t, set, 40)
    const whole = packet(0, queryCode, maxStatementBytes, maxStatementBytes)
    for (const socket of sockets) socket.write(Buffer.concat(Array.from({ length: 12 }, () => whole)))
  })
})

for (const [when, open] of [['before', openSocketsOf], ['after', openSessions]] as const) {
  test(`mysql: ${when} login, packets far over the limit leave the host serving`, async t => {
    const set = await crowdSet(t)
    await checkCrowd(subjectOf(set), maxDescriptors, async () => {
      const sockets = await open(t, set, 30)
      for (const socket of sockets) socket.write(packet(when === 'before' ? 1 : 0, queryCode, 0xfffffe, 12_000_000))
    })
  })
}

async function openSocketsOf (t: TestContext, set: LocalSet, count: number): Promise<readonly net.Socket[]> {
  return await openSockets(t, portOf(set), count)
}

test('mysql: answers that are not read leave the host serving', async t => {
  const set = await crowdSet(t)
  await checkCrowd(subjectOf(set), maxDescriptors, async () => {
    const sockets = await openSessions(t, set, 20)
    const text = `SELECT '${'x'.repeat(500_000)}' AS large`
    const query = packet(0, queryCode, text.length + 1, text.length + 1)
    query.write(text, 5, 'latin1')
    for (let at = 0; at < 60; at += 1) {
      for (const socket of sockets) if (socket.writable) socket.write(query)
      await delay(40)
    }
  })
})

test('mysql: many statements sent ahead without reading leave the host serving', async t => {
  const set = await crowdSet(t)
  await checkCrowd(subjectOf(set), maxDescriptors, async () => {
    const sockets = await openSessions(t, set, 20)
    const short = packet(0, queryCode, 2000, 2000)
    for (const socket of sockets) socket.write(Buffer.concat(Array.from({ length: 4000 }, () => short)))
  })
})

test('mysql: connections that never log in leave room for an ordinary caller', async t => {
  const set = await crowdSet(t)
  await checkCrowd(subjectOf(set), maxDescriptors, async () => {
    const sockets = await openSockets(t, portOf(set), maxConnections)
    for (const socket of sockets) if (socket.writable) socket.write(Buffer.from([100, 0]))
  })
})

test('mysql: sessions that begin a packet and send it slowly leave room for an ordinary caller', async t => {
  const set = await crowdSet(t)
  await checkCrowd(subjectOf(set), maxDescriptors, async () => {
    const sockets = await openSessions(t, set, maxConnections)
    for (const socket of sockets) socket.write(Buffer.from([100, 0, 0, 0]))
    for (let at = 0; at < 20; at += 1) {
      for (const socket of sockets) if (socket.writable) socket.write('x')
      await delay(100)
    }
  })
})
