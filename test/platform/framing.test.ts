// Messages end at CR LF and nowhere else, whatever bytes their fields hold.

import assert from 'node:assert/strict'
import net from 'node:net'
import { test } from 'node:test'
import fc from 'fast-check'
import { encodeMessage, errorLine, maxMessageBytes, MessageSplitter } from '../../platform/framing.js'
import { defaultKey, openSession, startServingFleet } from '../support/fleet.js'

/** Bytes with many blanks, line feeds and carriage returns among them. */
const bytes = fc.array(fc.oneof(fc.constantFrom(' ', '\r', '\n', '\r\n', 'QUERY'), fc.integer({ min: 0, max: 255 }).map(code => String.fromCharCode(code))), { maxLength: 20 }).map(parts => parts.join(''))

/** Splits text that arrives in chunks. */
function splitChunks (chunks: readonly string[]): { readonly messages: readonly string[], readonly heldBytes: number, readonly isTooLong: boolean } {
  const splitter = new MessageSplitter()
  const messages: string[] = []
  let isTooLong = false
  for (const chunk of chunks) {
    splitter.push(chunk)
    for (let next = splitter.next(); next.kind !== 'incomplete' && !isTooLong; next = splitter.next()) {
      if (next.kind === 'message') messages.push(next.text)
      else isTooLong = true
    }
  }
  return { messages, heldBytes: splitter.heldBytes, isTooLong }
}

/** Cuts a text into pieces of one length. */
function pieces (text: string, length: number): readonly string[] {
  return Array.from({ length: Math.ceil(text.length / length) }, (_, at) => text.slice(at * length, (at + 1) * length))
}

test('what is encoded is read back as the same messages, in chunks of any size', () => {
  fc.assert(fc.property(fc.array(fc.array(bytes, { minLength: 1, maxLength: 4 }), { maxLength: 4 }), fc.integer({ min: 1, max: 9 }), (messages, length) => {
    const sent = messages.flatMap(fields => {
      const encoding = encodeMessage('QUERY', ...fields)
      return encoding.kind === 'encoded' ? [{ fields, line: encoding.line }] : []
    })
    const split = splitChunks(pieces(sent.map(({ line }) => line).join(''), length))
    assert.deepEqual(split, { messages: sent.map(({ fields }) => ['QUERY', ...fields].join(' ')), heldBytes: 0, isTooLong: false })
  }))
})

test('only fields that would be read as others have no encoding', () => {
  fc.assert(fc.property(bytes, bytes, (word, last) => {
    const canBeRead = word !== '' && !word.includes(' ') && !`${word} ${last}`.includes('\r\n')
    assert.equal(encodeMessage('QUERY', word, last).kind === 'encoded', canBeRead)
  }))
  // Written as latin1, these characters would become a carriage return and a line feed.
  assert.deepEqual(encodeMessage('QUERY', 'a', '\u010d\u010a'), { kind: 'unencodable', fault: 'invalidCharacter' })
  assert.equal(errorLine('FAILED', 'first\r\nREADY I -\u010d\u010a').split('\r\n').length, 2)
})

test('a message may have the maximum length and not one byte more, in both directions', () => {
  const longest = 'x'.repeat(maxMessageBytes)
  assert.deepEqual(splitChunks([`${longest}\r`, '\nnext\r\n']).messages, [longest, 'next'])
  for (const chunks of [[`${longest}x\r\n`], [`${longest}x`], [`${longest}\r`, 'x\r\n']]) assert.equal(splitChunks(chunks).isTooLong, true)
  // In pieces of one byte, which are joined in blocks, and at each place of the terminator.
  const inBytes = splitChunks(pieces(`${'x'.repeat(5000)}\r\n${'y'.repeat(1023)}\r\nz\r`, 1))
  assert.deepEqual(inBytes.messages.map(({ length }) => length), [5000, 1023])
  assert.equal(encodeMessage(longest).kind, 'encoded')
  assert.deepEqual(encodeMessage(`${longest}x`), { kind: 'unencodable', fault: 'tooLong' })
})

// Guards against a buffer that grows without a bound.
test('any bytes in any pieces leave a bounded start of a message', () => {
  fc.assert(fc.property(fc.array(bytes, { maxLength: 30 }), chunks => {
    const { messages, heldBytes } = splitChunks(chunks)
    const receivedBytes = chunks.join('').length
    assert.ok(messages.join('\r\n').length <= receivedBytes)
    assert.ok(heldBytes <= receivedBytes + 64 * chunks.length)
  }))
  const flood = splitChunks(Array.from({ length: 40 }, () => 'x'.repeat(100_000)))
  assert.deepEqual(flood, { messages: [], heldBytes: 0, isTooLong: true })
})

// Guards against UNASKED: a line feed in a statement once made two statements of it.
test('a line feed or carriage return in a statement is one of its bytes', async t => {
  const fleet = await startServingFleet(t, { hosts: 1 })
  const caller = await openSession(fleet, 0)
  const data = 'foxed\nQUERY inner WRITE b 1\rend\r'
  assert.equal((await caller.query('SET tone warm\nQUERY inner WRITE c 1')).code, undefined)
  assert.notEqual((await caller.query(`WRITE a ${data}`, 'w1')).signature, undefined)
  assert.deepEqual((await caller.query('READ a', 'r1')).rows, [data])
  const runs = fleet.servers.flatMap(server => server.runs).filter(run => !run.text.startsWith('WRITE start'))
  assert.deepEqual(runs.map(({ id, text }) => ({ id, text })), [{ id: 'w1', text: `WRITE a ${data}` }, { id: 'r1', text: 'READ a' }])
  assert.deepEqual(runs[0]?.values, { tone: 'warm\nQUERY inner WRITE c 1' })
})

test('a query whose terminator arrives in two chunks is one query', async t => {
  const fleet = await startServingFleet(t, { hosts: 1 })
  const caller = await openSession(fleet, 0)
  assert.notEqual((await caller.query('WRITE a 1\r', 'w1')).signature, undefined)
  caller.sendRaw('QUERY half READ a\r')
  const rest = caller.completion()
  caller.sendRaw('\n')
  assert.deepEqual((await rest).rows, ['1\r'])
})

test('a login that is refused gets its error, also with statements sent along', async t => {
  const fleet = await startServingFleet(t, { hosts: 1 })
  const socket = net.connect({ host: '127.0.0.1', port: fleet.proxies[0]?.port ?? 0 })
  t.after(() => { socket.destroy() })
  socket.write(`STARTUP nowhere ${defaultKey}\r\nQUERY q1 READ a\r\nQUERY q2 READ a\r\n`)
  assert.match((await socket.setEncoding('latin1').toArray() as readonly string[]).join(''), /^ERROR NODB [^\r]*\r\n$/)
})
