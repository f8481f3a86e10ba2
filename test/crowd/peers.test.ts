// Crowds at the listeners that are not for callers: peers, readiness and metrics.

import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { checkCrowd, openDescriptors, openSockets, sendEach, smallHeapFlags, spareDescriptors, type Subject } from '../support/crowd.js'
import { openSession, outputTail, startServingFleet } from '../support/fleet.js'
import type { Fleet } from '../../standins/fleet/set.js'

/** Connections that one of these listeners may hold. */
const maxListenerConnections = 128
const crowd = 300

async function crowdFleet (t: TestContext): Promise<Fleet> {
  return await startServingFleet(t, { hosts: 1, pace: 'deployed', runtimeFlags: smallHeapFlags, servesMetrics: true })
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

type PortName = 'peerPort' | 'readinessPort' | 'metricsPort'

const listeners: ReadonlyArray<readonly [string, PortName]> = [['peers', 'peerPort'], ['readiness', 'readinessPort'], ['metrics', 'metricsPort']]

for (const [name, portName] of listeners) {
  test(`${name}: idle connections without an end leave descriptors for the host`, async t => {
    const fleet = await crowdFleet(t)
    const subject = subjectOf(fleet)
    await checkCrowd(subject, openDescriptors(subject.pid) + maxListenerConnections + spareDescriptors, async () => {
      const sockets = await openSockets(t, fleet.proxies[0]?.[portName] ?? 0, crowd)
      assert.equal(sockets.length, crowd)
      for (const socket of sockets) if (socket.writable) socket.write('G')
    })
  })
}

test('peers: long lines without an end leave the host serving', async t => {
  const fleet = await crowdFleet(t)
  await checkCrowd(subjectOf(fleet), crowd + spareDescriptors, async () => {
    const sockets = await openSockets(t, fleet.proxies[0]?.peerPort ?? 0, 12)
    await sendEach(sockets, 'x'.repeat(20_000_000))
  })
})

test('peers: long lines in small pieces leave the host serving', async t => {
  const fleet = await crowdFleet(t)
  await checkCrowd(subjectOf(fleet), crowd + spareDescriptors, async () => {
    const sockets = await openSockets(t, fleet.proxies[0]?.peerPort ?? 0, 60)
    for (let at = 0; at < 100; at += 1) {
      for (const socket of sockets) if (socket.writable) socket.write('x'.repeat(30_000), 'latin1')
      await delay(5)
    }
  })
})

test('peers: calls whose answers are not read leave the host serving', async t => {
  const fleet = await crowdFleet(t)
  await checkCrowd(subjectOf(fleet), crowd + spareDescriptors, async () => {
    const sockets = await openSockets(t, fleet.proxies[0]?.peerPort ?? 0, 20)
    const call = JSON.stringify({ jsonrpc: '2.0', id: 'x'.repeat(10_000), method: 'nothing', params: {} }) + '\n'
    for (const socket of sockets) {
      socket.pause()
      socket.write(call.repeat(2000), 'latin1')
    }
  })
})
