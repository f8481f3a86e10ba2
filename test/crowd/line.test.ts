// Crowds at the front end of the line protocol, before and after login. Each test
// guards against a process that runs out of memory or descriptors, or no longer serves
// an ordinary caller, because of one pattern.

import type net from 'node:net'
import { test, type TestContext } from 'node:test'
import { once } from 'node:events'
import { setTimeout as delay } from 'node:timers/promises'
import { checkCrowd, openSockets, sendEach, sendInPieces, smallHeapFlags, spareDescriptors, type Subject } from '../support/crowd.js'
import { defaultKey, openSession, outputTail, startServingFleet } from '../support/fleet.js'
import type { Fleet } from '../../standins/fleet/set.js'

const maxConnections = 200
const maxDescriptors = maxConnections + spareDescriptors
/** A little below the largest legal message. */
const legalBytes = 1_000_000
const crowd = 180

async function crowdFleet (t: TestContext): Promise<Fleet> {
  return await startServingFleet(t, { hosts: 1, pace: 'deployed', runtimeFlags: smallHeapFlags, limits: { max_connections: maxConnections } })
}

function subjectOf (fleet: Fleet): Subject {
  const child = fleet.proxies[0]?.process
  return {
    pid: child?.pid ?? 0,
    isAlive: () => child?.exitCode === null && child.signalCode === null,
    serve: async () => {
      const caller = await openSession(fleet, 0)
      const answer = await caller.query('READ folio-1')
      caller.disconnect()
      return answer.signature !== undefined
    },
    output: () => outputTail(fleet, 0)
  }
}

function portOf (fleet: Fleet): number {
  return fleet.proxies[0]?.port ?? 0
}

/** Opens sessions; one that is refused is closed. */
async function openSessions (t: TestContext, fleet: Fleet, count: number): Promise<readonly net.Socket[]> {
  const sockets = await openSockets(t, portOf(fleet), count)
  await Promise.all(sockets.map(async socket => {
    const replied = once(socket, 'data').catch(() => [])
    socket.write(`STARTUP orders ${defaultKey}\r\n`)
    await Promise.race([replied, once(socket, 'close')])
    socket.pause()
  }))
  return sockets
}

function startOfQuery (bytes: number): string {
  return `QUERY q1 READ ${'x'.repeat(bytes)}`
}

test('line: before login, large messages that stop half-way leave the host serving', async t => {
  const fleet = await crowdFleet(t)
  await checkCrowd(subjectOf(fleet), maxDescriptors, async () => {
    const sockets = await openSockets(t, portOf(fleet), crowd)
    await sendEach(sockets, `STARTUP orders ${'x'.repeat(legalBytes)}`)
  })
})

test('line: after login, large messages that stop half-way leave the host serving', async t => {
  const fleet = await crowdFleet(t)
  await checkCrowd(subjectOf(fleet), maxDescriptors, async () => {
    const sockets = await openSessions(t, fleet, crowd)
    await sendEach(sockets, startOfQuery(legalBytes))
  })
})

test('line: large messages in small pieces, all at once, leave the host serving', async t => {
  const fleet = await crowdFleet(t)
  await checkCrowd(subjectOf(fleet), maxDescriptors, async () => {
    const sockets = await openSessions(t, fleet, crowd)
    await Promise.all(sockets.map(async socket => { await sendInPieces(socket, startOfQuery(legalBytes), 2000) }))
  })
})

test('line: many whole messages of legal size at once leave the host serving', async t => {
  const fleet = await crowdFleet(t)
  await checkCrowd(subjectOf(fleet), maxDescriptors, async () => {
    const sockets = await openSessions(t, fleet, 40)
    await sendEach(sockets, `${startOfQuery(legalBytes)}\r\n`.repeat(12))
  })
})

test('line: messages far over the limit free their connections', async t => {
  const fleet = await crowdFleet(t)
  await checkCrowd(subjectOf(fleet), maxDescriptors, async () => {
    // The connections stay open on the crowd's side and use up max_connections.
    const sockets = await openSockets(t, portOf(fleet), maxConnections)
    for (const socket of sockets) socket.pause()
    await sendEach(sockets, 'x'.repeat(3 * legalBytes))
  })
})

test('line: answers that are not read leave the host serving', async t => {
  const fleet = await crowdFleet(t)
  const writer = await openSession(fleet, 0)
  await writer.query(`WRITE large ${'x'.repeat(legalBytes)}`)
  await checkCrowd(subjectOf(fleet), maxDescriptors, async () => {
    const sockets = await openSessions(t, fleet, 20)
    for (let at = 0; at < 60; at += 1) {
      for (const socket of sockets) if (socket.writable) socket.write(`QUERY a${at} READ large\r\n`)
      await delay(40)
    }
  })
})

test('line: many messages sent ahead without reading leave the host serving', async t => {
  const fleet = await crowdFleet(t)
  await checkCrowd(subjectOf(fleet), maxDescriptors, async () => {
    const sockets = await openSessions(t, fleet, 20)
    await sendEach(sockets, `QUERY q READ ${'x'.repeat(2000)}\r\n`.repeat(4000))
  })
})

test('line: connections that never log in leave room for an ordinary caller', async t => {
  const fleet = await crowdFleet(t)
  await checkCrowd(subjectOf(fleet), maxDescriptors, async () => {
    const sockets = await openSockets(t, portOf(fleet), maxConnections)
    for (let at = 0; at < 5; at += 1) {
      for (const socket of sockets) if (socket.writable) socket.write('S')
      await delay(100)
    }
  })
})

test('line: sessions that begin a message and send it slowly leave room for an ordinary caller', async t => {
  const fleet = await crowdFleet(t)
  await checkCrowd(subjectOf(fleet), maxDescriptors, async () => {
    const sockets = await openSessions(t, fleet, maxConnections)
    for (let at = 0; at < 20; at += 1) {
      for (const socket of sockets) if (socket.writable) socket.write('Q')
      await delay(100)
    }
  })
})

test('line: session values of one session leave the host serving', async t => {
  const fleet = await crowdFleet(t)
  await checkCrowd(subjectOf(fleet), maxDescriptors, async () => {
    const caller = await openSession(fleet, 0)
    t.after(() => { caller.disconnect() })
    for (let at = 0; at < 120; at += 1) {
      const answer = await caller.query(`SET name-${at} ${'x'.repeat(900 * 1024)}`).catch(() => undefined)
      if (answer?.code !== undefined || answer === undefined) break
    }
  })
})

test('line: session values of many sessions leave the host serving', async t => {
  const fleet = await crowdFleet(t)
  await checkCrowd(subjectOf(fleet), maxDescriptors, async () => {
    const sockets = await openSessions(t, fleet, crowd)
    for (let at = 0; at < 40; at += 1) {
      for (const socket of sockets) if (socket.writable) socket.write(`QUERY s${at} SET name-${at} ${'x'.repeat(30_000)}\r\n`)
      await delay(40)
    }
  })
})

test('line: prepared statements of one session leave the host serving', async t => {
  const fleet = await crowdFleet(t)
  await checkCrowd(subjectOf(fleet), maxDescriptors, async () => {
    const caller = await openSession(fleet, 0)
    t.after(() => { caller.disconnect() })
    for (let at = 0; at < 120; at += 1) {
      const answer = await caller.query(`PREPARE p${at} READ ${'x'.repeat(900 * 1024)}`).catch(() => undefined)
      if (answer?.code !== undefined || answer === undefined) break
    }
  })
})
