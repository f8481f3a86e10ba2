import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { DaemonContext } from '../../src/daemon/context.js'
import { startQueue, type QueueLimits, type QueueTask } from '../../src/daemon/dispatcher-queue.js'
import type { DispatchRequest, Permit } from '../../src/dispatch/index.js'
import type { ServerDeclaration } from '../../src/model/index.js'
import { coldWindowMs } from '../../src/pace/index.js'
import { fakeTimers } from '../support/timers.js'

/** The queue of a server with one slot, or with `slots`. */
function startOneSlotQueue (limits: Partial<QueueLimits> = {}, slots = 1, timers = fakeTimers(), serverPace = 'off'): QueueTask {
  const context = { timers, settings: { limits: { queueLength: 10, classWaitMs: 500 }, control: { serverPace } }, random: () => 0.5, onTaskError: () => assert.fail } as unknown as DaemonContext
  return startQueue(context, { name: 's1', slots } as unknown as ServerDeclaration, { coldBound: () => undefined, onColdLimit: () => {}, onPaceFall: () => {}, ...limits })
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
  if (running.kind === 'granted') running.release('answered')
  assert.equal((await kept).kind, 'granted')
})

// Guards against slots that stay as declared while the pace of the server says otherwise.
test('the number of slots follows the pace, and the load tells it', async () => {
  const timers = fakeTimers()
  const queue = startOneSlotQueue({}, 2, timers, 'on')
  const first = await queue.requestPermit(writeRequest())
  const [second, third, fourth] = [queue.requestPermit(writeRequest()), queue.requestPermit(writeRequest()), queue.requestPermit(writeRequest())]
  await new Promise(resolve => { setImmediate(resolve) })
  assert.deepEqual([queue.load().waiting, queue.load().slots], [3, 1])
  timers.pass(1)
  if (first.kind === 'granted') first.release('answered')
  const next = await second
  timers.pass(2)
  if (next.kind === 'granted') next.release('answered')
  assert.deepEqual([(await third).kind, (await fourth).kind], ['granted', 'granted'])
  assert.deepEqual(queue.load(), { expectedWaitMs: 1, serviceMs: 1, waiting: 0, slots: 2 })
})

// Guards against more statements on a cold server than its bound, statements that wait for it although another server could run them, and a load that still attracts them.
test('a cold server gets no more statements than its bound, and those that would wait long are refused at once', async () => {
  const timers = fakeTimers()
  let limit: number | undefined
  const queue = startOneSlotQueue({ coldBound: () => ({ whole: 6, current: 3 }), onColdLimit: perS => { limit = perS } }, 5, timers)
  timers.pass(coldWindowMs)
  const permits = await Promise.all(Array.from({ length: 5 }, async () => await queue.requestPermit({ ...writeRequest(), deadlineAtMs: 5000 })))
  assert.deepEqual(permits.map(permit => permit.kind === 'granted' ? 'granted' : permit.reason), ['granted', 'granted', 'granted', 'serverBusy', 'serverBusy'])
  assert.equal(limit, 3)
  assert.equal(queue.load().expectedWaitMs, coldWindowMs)
  timers.pass(2 * coldWindowMs)
  assert.equal((await queue.requestPermit({ ...writeRequest(), deadlineAtMs: 5000 })).kind, 'granted')
})

// Guards against an end that makes room on a cold server, and against a wait for the next event after the bound allows a start.
test('a statement that waits for a cold server starts when the bound allows it, and not when another one ends', async () => {
  const timers = fakeTimers()
  const queue = startOneSlotQueue({ coldBound: () => ({ whole: 4, current: 2 }) }, 5, timers)
  timers.pass(coldWindowMs)
  const started = await grantedAtOnce(queue, 2)
  assert.equal(started.length, 2)
  timers.pass(2 * coldWindowMs - 100)
  let isStarted = false
  void queue.requestPermit({ ...writeRequest(), deadlineAtMs: 1e9 }).then(permit => { isStarted = permit.kind === 'granted' })
  timers.pass(2 * coldWindowMs - 90)
  started[0]?.release('answered')
  await new Promise(resolve => { setImmediate(resolve) })
  assert.equal(isStarted, false)
  timers.pass(2 * coldWindowMs)
  await new Promise(resolve => { setImmediate(resolve) })
  assert.equal(isStarted, true)
  await queue.stop()
})

/** Asks for permits at once and returns how many are granted before anything ends. */
async function grantedAtOnce (queue: QueueTask, count: number): Promise<ReadonlyArray<Extract<Permit, { readonly kind: 'granted' }>>> {
  let granted: ReadonlyArray<Extract<Permit, { readonly kind: 'granted' }>> = []
  for (let asked = 0; asked < count; asked += 1) {
    void queue.requestPermit({ ...writeRequest(), deadlineAtMs: 1e9 }).then(permit => { if (permit.kind === 'granted') granted = [...granted, permit] })
  }
  await new Promise(resolve => { setImmediate(resolve) })
  return granted
}

// Guards against a server that gets as many statements at once after its start and after errors as ever.
test('the pace of a server decides how many statements run at once', async () => {
  let falls: readonly string[] = []
  const timers = fakeTimers()
  const queue = startOneSlotQueue({ onPaceFall: (cause, slots) => { falls = [...falls, `${cause} ${slots}`] } }, 5, timers, 'on')
  let running = await grantedAtOnce(queue, 1)
  for (let nowMs = 100; nowMs <= 1000; nowMs += 100) {
    timers.pass(nowMs)
    for (const permit of running) permit.release('answered')
    running = await grantedAtOnce(queue, 1)
  }
  assert.equal((await grantedAtOnce(queue, 3)).length, 3)
  timers.pass(1100)
  running[0]?.release('failed')
  assert.deepEqual([(await grantedAtOnce(queue, 3)).length, falls], [0, ['failed 2']])
  await queue.stop()
})
