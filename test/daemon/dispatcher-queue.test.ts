import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { DaemonContext } from '../../src/daemon/context.js'
import { startQueue, type QueueTask } from '../../src/daemon/dispatcher-queue.js'
import type { DispatchRequest } from '../../src/dispatch/index.js'
import type { ServerDeclaration } from '../../src/model/index.js'
import { fakeTimers } from '../support/timers.js'

/** The queue of a server with one slot. */
function startOneSlotQueue (): QueueTask {
  const context = { timers: fakeTimers(), settings: { limits: { queueLength: 10, classWaitMs: 500 } }, random: () => 0.5, onTaskError: () => assert.fail } as unknown as DaemonContext
  return startQueue(context, { name: 's1', slots: 1 } as unknown as ServerDeclaration)
}

function writeRequest (): DispatchRequest {
  return { request: { account: 'bindery', weight: 1, mode: { kind: 'write', requestId: undefined } }, deadlineAtMs: 1000 } as unknown as DispatchRequest
}

// Guards against LOST: statements that waited when their queue stopped got no answer.
test('statements that wait when their queue stops, or come later, are refused and can go elsewhere', async () => {
  const queue = startOneSlotQueue()
  const running = await queue.requestPermit(writeRequest())
  const waiting = [queue.requestPermit(writeRequest()), queue.requestPermit(writeRequest())]
  await queue.stop()
  assert.equal(running.kind, 'granted')
  const refused = { kind: 'refused', reason: 'noServer' }
  assert.deepEqual(await Promise.all([...waiting, queue.requestPermit(writeRequest())]), [refused, refused, refused])
})

// Guards against slots spent on statements whose callers have left.
test('a statement that its entry host cancels gets no slot, also where the name comes from another host', async () => {
  const queue = startOneSlotQueue()
  const named = (from: string): DispatchRequest => ({ ...writeRequest(), request: { ...writeRequest().request, from, callId: 'c1' } })
  const running = await queue.requestPermit(writeRequest())
  const cancelled = queue.requestPermit(named('h1'))
  const kept = queue.requestPermit(named('h2'))
  queue.cancel({ from: 'h1', callId: 'c1' })
  assert.equal((await cancelled).kind, 'refused')
  if (running.kind === 'granted') running.release()
  assert.equal((await kept).kind, 'granted')
})

// Guards against slots that stay as declared while the pace of the server says otherwise.
test('the number of slots follows setSlots, and the load tells it', async () => {
  const queue = startOneSlotQueue()
  await queue.requestPermit(writeRequest())
  const second = queue.requestPermit(writeRequest())
  queue.setSlots(2)
  assert.equal((await second).kind, 'granted')
  assert.deepEqual(queue.load(), { expectedWaitMs: 1, serviceMs: 1, waiting: 0, slots: 2 })
})
