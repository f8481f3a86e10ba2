// Line framing over a stream, with one JSON text per line. A line longer than
// the limit closes the connection, so that a peer cannot exhaust the memory.

import type { Duplex } from 'node:stream'

/** Maximum length of a line from a peer, in characters. */
const maxLineLength = 32 * 1024 * 1024

/** Options for reading lines. */
export type LineOptions = {
  /** `latin1` maps each byte to one character. */
  readonly encoding?: 'utf8' | 'latin1'
  readonly maxLength?: number
  /**
   * Called for a line longer than `maxLength`, after which nothing more is
   * read; closes the connection by default.
   */
  readonly onTooLong?: () => void
}

/**
 * Reads lines from a stream.
 * @param stream - the stream
 * @param onLine - called with each line, in order
 * @param options - encoding, maximum line length, and handling of longer lines
 */
export function readLines (stream: Duplex, onLine: (line: string) => void, options: LineOptions = {}): void {
  const { encoding = 'utf8', maxLength = maxLineLength, onTooLong = () => { stream.destroy(new Error('line exceeds the maximum length')) } } = options
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
 * Writes one value as a line of JSON.
 * @param stream - the stream
 * @param value - any JSON value
 */
export function writeLine (stream: Duplex, value: unknown): void {
  stream.write(JSON.stringify(value) + '\n')
}
