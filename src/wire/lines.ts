// Framing of the links between hosts: one JSON text per line. JSON escapes line
// feeds, so one ends a line only. A line longer than the limit closes the connection,
// so that a peer cannot exhaust the memory.

import type { Duplex } from 'node:stream'

/** Maximum length of a line from a peer, in characters. */
const maxLineLength = 32 * 1024 * 1024
/** Memory of a received piece besides its text. */
const pieceOverheadBytes = 64

/**
 * Reads lines from a stream. Only new text is searched for a line feed.
 * @param stream - the stream
 * @param onLine - called with each line, in order, without its line feed
 * @param onHeld - called after each piece with the memory of the incomplete line, in bytes
 */
export function readLines (stream: Duplex, onLine: (line: string) => void, onHeld: (bytes: number) => void = () => {}): void {
  let start = ''
  let pieces = 0
  stream.setEncoding('utf8')
  stream.on('data', (chunk: string) => {
    if (stream.destroyed) return
    const [first = '', ...rest] = chunk.split('\n')
    start += first
    pieces += 1
    for (const next of rest) {
      if (start.length > maxLineLength) return closeAtLongLine(stream)
      onLine(start)
      start = next
      pieces = 1
    }
    if (start.length > maxLineLength) return closeAtLongLine(stream)
    onHeld(start.length === 0 ? 0 : start.length + pieces * pieceOverheadBytes)
  })
}

function closeAtLongLine (stream: Duplex): void {
  stream.destroy(new Error('line exceeds the maximum length'))
}
