import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { fieldCodes, restore, shortText } from '../../src/wire/peer-codec.js'

/** Codes of names as proxies of earlier versions send them, by the order of the list. */
const earlierCodes = { account: '~0', from: '~h', incarnation: '~p', remainingMs: '~19', server: '~1g', want: '~1u', weight: '~1w' }

/** A copy of a message under short names, as earlier versions made it before they wrote its text. */
function shortCopy (value: unknown): unknown {
  if (Array.isArray(value)) return value.map(shortCopy)
  if (typeof value !== 'object' || value === null) return value
  return Object.fromEntries(Object.entries(value).filter(([, inner]) => inner !== undefined).map(([name, inner]) => {
    const code = Object.hasOwn(fieldCodes, name) ? fieldCodes[name as keyof typeof fieldCodes] : name.startsWith('~') ? '~' + name : name
    return [code, copyOfField(name, inner)]
  }))
}

function copyOfField (name: string, value: unknown): unknown {
  if (['values', 'accepted', 'report', 'hosts'].includes(name)) return value
  if (typeof value !== 'number') return shortCopy(value)
  if (['agoMs', 'heardAgoMs', 'storeConfirmedAgoMs'].includes(name)) return Math.ceil(value)
  return name === 'remainingMs' ? Math.floor(value) : value
}

// Guards against a fleet of two versions in which each misreads the other's messages.
test('the text of a message is the one that earlier versions send', () => {
  assert.deepEqual(Object.fromEntries(Object.keys(earlierCodes).map(name => [name, fieldCodes[name as keyof typeof fieldCodes]])), earlierCodes)
  const key = fc.oneof(fc.constantFrom(...Object.keys(fieldCodes), 'values', 'accepted', 'slots', 'name'), fc.string())
  const leaf = fc.oneof(fc.string({ unit: 'binary' }), fc.double(), fc.integer(), fc.boolean(), fc.constant(null), fc.constant(undefined))
  const { message } = fc.letrec(tie => ({ message: fc.oneof({ maxDepth: 4 }, leaf, fc.array(tie('message')), fc.dictionary(key, tie('message')), fc.record({ remainingMs: fc.double(), agoMs: fc.double() })) }))
  const withoutRows = fc.dictionary(key.filter(name => name !== 'rows' && name !== 'columns'), message)
  fc.assert(fc.property(withoutRows, value => {
    const plain = JSON.parse(JSON.stringify(value, (name, inner) => name === 'rows' || name === 'columns' ? undefined : inner))
    assert.equal(shortText(plain), JSON.stringify(shortCopy(plain)))
  }))
  const answer = { kind: 'rows', columns: [{ name: 'é', type: 1, flags: 0, length: 4, decimals: 0, characterSet: 33 }], rows: [['a"', null], []], position: undefined, agoMs: Infinity }
  assert.equal(shortText(answer), JSON.stringify(shortCopy(answer)))
})

test('a message survives shortening and restoring', () => {
  const request = { from: 'h1', database: 'd', server: 's', account: 'a', weight: 1, statement: { id: 'q', text: 'READ 1' }, values: { a: '1', kind: 'x' }, mode: { kind: 'read', freshness: { kind: 'floor', position: { term: 1, index: 2 } } }, remainingMs: 90 }
  assert.deepEqual(restore(JSON.parse(shortText(request))), request)
})

test('session values keep their names, whatever the caller chose', () => {
  fc.assert(fc.property(fc.dictionary(fc.string(), fc.string()), values => {
    assert.deepEqual(restore(JSON.parse(shortText({ values }))), JSON.parse(JSON.stringify({ values })))
  }))
})

test('an age is rounded up and a remaining time down', () => {
  assert.deepEqual(restore(JSON.parse(shortText({ agoMs: 1.2, remainingMs: 1.8, ratePerS: 1.5 }))), { agoMs: 2, remainingMs: 1, ratePerS: 1.5 })
})

test('a field without a code keeps its name, whatever it is', () => {
  const server = { name: 's', ip: '10.0.0.1', port: 1, isPaused: true }
  assert.deepEqual(restore(JSON.parse(shortText(server))), server)
  fc.assert(fc.property(fc.dictionary(fc.string(), fc.boolean()), fields => {
    const plain = JSON.parse(JSON.stringify(fields))
    assert.deepEqual(restore(JSON.parse(shortText(plain))), plain)
  }))
})
