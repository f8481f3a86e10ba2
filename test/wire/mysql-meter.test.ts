// The meter of MySQL packets. Guards against a packet that is kept although it is
// refused, and against bytes that stay counted after their packets were handled.

import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { PacketMeter } from '../../src/wire/mysql-meter.js'

const maxBytes = 300

/** Packets in the order of a client: the login has the number 1, each command 0. */
function packets (lengths: readonly number[]): Buffer {
  return Buffer.concat(lengths.map((length, at) => {
    const bytes = Buffer.alloc(4 + length, 'x')
    bytes.writeUIntLE(length, 0, 3)
    bytes.writeUInt8(at === 0 ? 1 : 0, 3)
    return bytes
  }))
}

function received (meter: PacketMeter, bytes: Uint8Array, pieceBytes: number): void {
  for (let at = 0; at < bytes.length; at += pieceBytes) meter.receive(bytes.subarray(at, at + pieceBytes))
}

test('packets in pieces of any size are counted until they are handled', () => {
  fc.assert(fc.property(fc.array(fc.nat(maxBytes), { minLength: 1, maxLength: 6 }), fc.integer({ min: 1, max: 400 }), (lengths, pieceBytes) => {
    const meter = new PacketMeter(maxBytes)
    received(meter, packets(lengths), pieceBytes)
    assert.equal(meter.fault, 'none')
    assert.ok(meter.heldBytes >= packets(lengths).length)
    meter.loginHandled()
    for (const length of lengths.slice(1)) meter.handled(length)
    assert.equal(meter.heldBytes, 0)
  }))
})

test('a packet that is too long or out of order is found by its header alone', () => {
  const tooLong = new PacketMeter(maxBytes)
  tooLong.receive(packets([maxBytes + 1]).subarray(0, 4))
  assert.equal(tooLong.fault, 'tooLong')
  const outOfOrder = new PacketMeter(maxBytes)
  outOfOrder.receive(Buffer.from([1, 0, 0, 7]))
  assert.equal(outOfOrder.fault, 'outOfOrder')
})

test('any bytes leave the meter with a fault or a bounded packet', () => {
  fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 600 }), { maxLength: 6 }), chunks => {
    const meter = new PacketMeter(maxBytes)
    for (const chunk of chunks) meter.receive(chunk)
    assert.ok(meter.heldBytes >= 0)
  }))
})
