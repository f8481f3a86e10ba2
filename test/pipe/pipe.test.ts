import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Mailbox, ask, end, compose, next, runPipe, startTask, type Filter, type Port, type Reply } from '../../src/pipe/index.js'

type Message = { readonly kind: 'add', readonly amount: number } | { readonly kind: 'read', readonly reply: Reply<number> }
type Effect = { readonly kind: 'answer', readonly reply: Reply<number>, readonly total: number }

function counterTask (onError: (error: Error) => void = () => {}) {
  return startTask<number, Message, Effect>({
    name: 'counter',
    initial: 0,
    capacity: 8,
    onError,
    step: (state, message) => {
      switch (message.kind) {
        case 'add': {
          if (Number.isNaN(message.amount)) throw new Error('not a number')
          return { state: state + message.amount, effects: [] }
        }
        case 'read': return { state, effects: [{ kind: 'answer', reply: message.reply, total: state }] }
      }
    },
    perform: effect => { effect.reply(effect.total) }
  })
}

async function askTotal (port: Port<Message>): Promise<number> {
  return await ask<Message, number>(port, reply => ({ kind: 'read', reply }), -1)
}

test('a full mailbox refuses and keeps what it holds', async () => {
  const box = new Mailbox<number>(2)
  assert.deepEqual([box.send(1), box.send(2), box.send(3)], ['accepted', 'accepted', 'full'])
  assert.deepEqual(await box.receive(), { kind: 'message', message: 1 })
  assert.equal(box.send(3), 'accepted')
  box.close()
  assert.equal(box.send(4), 'closed')
  assert.deepEqual(await box.receive(), { kind: 'message', message: 2 })
  assert.deepEqual(await box.receive(), { kind: 'message', message: 3 })
  assert.deepEqual(await box.receive(), { kind: 'closed' })
})

test('a task handles messages in order and outlives an error', async () => {
  const errors: string[] = []
  const task = counterTask(error => errors.push(error.message))
  task.port.send({ kind: 'add', amount: 2 })
  task.port.send({ kind: 'add', amount: NaN })
  task.port.send({ kind: 'add', amount: 3 })
  assert.equal(await askTotal(task.port), 5)
  assert.deepEqual(errors, ['not a number'])
  await task.stop()
  assert.equal(await askTotal(task.port), -1)
})

test('a filter that ends the pipe keeps the message from later filters', async () => {
  const limit: Filter<number, number, string> = n => n > 9 ? end('too large') : next(n)
  const show: Filter<number, never, string> = n => end(`shown ${n}`)
  assert.equal(await runPipe(compose(limit, show), 3), 'shown 3')
  assert.equal(await runPipe(compose(limit, show), 10), 'too large')
})
