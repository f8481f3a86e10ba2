// One JSON text a line over a stream. A line that grows past the bound ends
// the connection, so that a peer cannot fill the memory.

import type { Duplex } from 'node:stream'

/** Longest line that a peer may send, in characters. */
const maxLineLength = 32 * 1024 * 1024

/**
 * Reads lines from a stream.
 * @param stream - the stream
 * @param onLine - told of each line, in order
 */
export function readLines (stream: Duplex, onLine: (line: string) => void): void {
  let rest = ''
  stream.setEncoding('utf8')
  stream.on('data', (chunk: string) => {
    const lines = (rest + chunk).split('\n')
    rest = lines.pop() ?? ''
    if (rest.length > maxLineLength) {
      stream.destroy(new Error('line too long'))
      return
    }
    for (const line of lines) onLine(line)
  })
}

/**
 * Writes one value as a line.
 * @param stream - the stream
 * @param value - any JSON value
 */
export function writeLine (stream: Duplex, value: unknown): void {
  stream.write(JSON.stringify(value) + '\n')
}
