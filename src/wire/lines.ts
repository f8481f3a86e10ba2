// Lines over a stream, and one JSON text a line. A line that grows past the
// bound ends the connection, so that a peer cannot fill the memory.

import type { Duplex } from 'node:stream'

/** Longest line that a peer may send, in characters. */
const maxLineLength = 32 * 1024 * 1024

/** How lines are read. */
export type LineOptions = {
  /** `latin1` keeps each byte as it is. */
  readonly encoding?: 'utf8' | 'latin1'
  readonly maxLength?: number
  /** Ends the connection; nothing is read after it. */
  readonly onTooLong?: () => void
}

/**
 * Reads lines from a stream.
 * @param stream - the stream
 * @param onLine - told of each line, in order
 * @param options - how bytes are read as characters, the longest line, and who is told of a longer one
 */
export function readLines (stream: Duplex, onLine: (line: string) => void, options: LineOptions = {}): void {
  const { encoding = 'utf8', maxLength = maxLineLength, onTooLong = () => { stream.destroy(new Error('line too long')) } } = options
  let incomplete = ''
  let isEnded = false
  stream.setEncoding(encoding)
  stream.on('data', (chunk: string) => {
    if (isEnded) return
    const lines = (incomplete + chunk).split('\n')
    incomplete = lines.pop() ?? ''
    for (const line of lines) {
      if (line.length > maxLength) isEnded = true
      else if (!isEnded) onLine(line)
    }
    if (!isEnded && incomplete.length <= maxLength) return
    isEnded = true
    incomplete = ''
    onTooLong()
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
