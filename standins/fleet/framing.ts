// Framing of the line protocol for the stand-ins, on bytes: a message ends at CR LF,
// and any other byte belongs to it. Shares no code with the product, so that a fault
// in the product's framing shows in tests.

import type { Socket } from 'node:net'

const carriageReturn = 0x0d
const lineFeed = 0x0a

/**
 * Reads messages from a socket.
 * @param socket - the socket
 * @param onMessage - called with the text of each message, one character a byte
 */
export function readFrames (socket: Socket, onMessage: (text: string) => void): void {
  let bytes: Buffer = Buffer.alloc(0)
  socket.on('data', (chunk: Buffer) => {
    bytes = Buffer.concat([bytes, chunk])
    for (let end = endOfFrame(bytes); end >= 0; end = endOfFrame(bytes)) {
      const text = bytes.toString('latin1', 0, end)
      bytes = bytes.subarray(end + 2)
      onMessage(text)
    }
  })
}

function endOfFrame (bytes: Buffer): number {
  for (let at = bytes.indexOf(lineFeed); at >= 0; at = bytes.indexOf(lineFeed, at + 1)) {
    if (at > 0 && bytes[at - 1] === carriageReturn) return at - 1
  }
  return -1
}
