import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { restore, shorten } from '../../src/wire/peer-codec.js'

test('a message survives shortening and restoring', () => {
  const request = { from: 'h1', database: 'd', server: 's', account: 'a', weight: 1, statement: { id: 'q', text: 'READ 1' }, values: { a: '1', kind: 'x' }, mode: { kind: 'read', freshness: { kind: 'floor', position: { term: 1, index: 2 } } }, remainingMs: 90 }
  assert.deepEqual(restore(JSON.parse(JSON.stringify(shorten(request)))), request)
})

test('session values keep their names, whatever the caller chose', () => {
  fc.assert(fc.property(fc.dictionary(fc.string(), fc.string()), values => {
    assert.deepEqual(restore(JSON.parse(JSON.stringify(shorten({ values })))), JSON.parse(JSON.stringify({ values })))
  }))
})

test('an age is rounded up and a remaining time down', () => {
  assert.deepEqual(restore(shorten({ agoMs: 1.2, remainingMs: 1.8, ratePerS: 1.5 })), { agoMs: 2, remainingMs: 1, ratePerS: 1.5 })
})

test('a field without a code keeps its name, whatever it is', () => {
  const server = { name: 's', ip: '10.0.0.1', port: 1, isPaused: true }
  assert.deepEqual(restore(shorten(server)), server)
  fc.assert(fc.property(fc.dictionary(fc.string(), fc.boolean()), fields => {
    const plain = JSON.parse(JSON.stringify(fields))
    assert.deepEqual(restore(JSON.parse(JSON.stringify(shorten(plain)))), plain)
  }))
})
