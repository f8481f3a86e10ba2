// Framing of the links between hosts: one JSON text per line. JSON escapes line
// feeds, so one ends a line only. A line longer than the limit closes the connection,
// so that a peer cannot exhaust the memory.

import type { Duplex } from 'node:stream'

/** Maximum length of a line from a peer, in characters. */
const maxLineLength = 32 * 1024 * 1024

/**
 * Reads lines from a stream.
 * @param stream - the stream
 * @param onLine - called with each line, in order, without its line feed
 */
export function readLines (stream: Duplex, onLine: (line: string) => void): void {
  let incomplete = ''
  stream.setEncoding('utf8')
  stream.on('data', (chunk: string) => {
    if (stream.destroyed) return
    const lines = (incomplete + chunk).split('\n')
    incomplete = lines.pop() ?? ''
    for (const line of lines) {
      if (line.length > maxLineLength) return closeAtLongLine(stream)
      onLine(line)
    }
    if (incomplete.length > maxLineLength) closeAtLongLine(stream)
  })
}

function closeAtLongLine (stream: Duplex): void {
  stream.destroy(new Error('line exceeds the maximum length'))
}

/**
 * Writes one value as a line of JSON.
 * @param stream - the stream
 * @param value - any JSON value
 */
export function writeLine (stream: Duplex, value: unknown): void {
  stream.write(JSON.stringify(value) + '\n')
}
