// Crowds of misbehaving clients: raw sockets that send what a test gives them, and
// what the process under test holds meanwhile. The checks depend on no speed: the
// process lives, its resident memory and its descriptors stay under a bound, and an
// ordinary request is answered.

import assert from 'node:assert/strict'
import { readdirSync, readFileSync } from 'node:fs'
import net from 'node:net'
import type { TestContext } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { until } from './until.js'

/** Heap of the processes under test, so that a small crowd shows what a large one does to a larger heap. */
export const smallHeapFlags = ['--max-old-space-size=64']
/**
 * Bound of the resident memory of a process with the small heap: the heap, as much
 * again for buffers outside it, and 96 MiB for the runtime and its code.
 */
export const maxResidentBytes = 224 * 1024 * 1024
/** Descriptors that a process may open besides its clients': connections to store, servers and peers. */
export const spareDescriptors = 60
/** Time for which a crowd holds its connections before the ordinary request. */
const holdMs = 2000
const sampleMs = 50
/** Time in which the ordinary request has to be answered once; no test measures it. */
const servedWithinMs = 15_000

/** The process under test. */
export type Subject = {
  readonly pid: number
  readonly isAlive: () => boolean
  /** One ordinary request; false while it is not answered. */
  readonly serve: () => Promise<boolean>
  /** Last lines of its output, for a failed check. */
  readonly output: () => string
}

/**
 * Opens raw connections that close when the test ends.
 * @param t - the test
 * @param port - port of the process under test
 * @param count - number of connections
 * @returns the sockets; one that was refused is closed
 */
export async function openSockets (t: TestContext, port: number, count: number): Promise<readonly net.Socket[]> {
  return await Promise.all(Array.from({ length: count }, async () => {
    const socket = net.connect({ host: '127.0.0.1', port, noDelay: true })
    socket.on('error', () => {})
    t.after(() => { socket.destroy() })
    await new Promise<void>(resolve => {
      socket.once('connect', () => { resolve() })
      socket.once('close', () => { resolve() })
    })
    return socket
  }))
}

/**
 * Sends the same text on each connection, one after the other. The stand-ins of the
 * store and the servers run in this process, so it must not stand still meanwhile.
 * @param sockets - the connections
 * @param text - the text, one byte a character
 */
export async function sendEach (sockets: readonly net.Socket[], text: string): Promise<void> {
  const bytes = Buffer.from(text, 'latin1')
  for (const socket of sockets) {
    if (socket.writable) socket.write(bytes)
    await delay(1)
  }
}

/**
 * Sends a text in pieces, waiting for the event loop between them, so that most
 * arrive on their own.
 * @param socket - the connection
 * @param text - the text, one byte a character
 * @param pieceBytes - length of a piece
 */
export async function sendInPieces (socket: net.Socket, text: string, pieceBytes: number): Promise<void> {
  for (let at = 0; at < text.length && socket.writable; at += pieceBytes) {
    socket.write(text.slice(at, at + pieceBytes), 'latin1')
    await delay(1)
  }
}

/**
 * Lets a crowd act, holds it, and checks the process meanwhile and afterwards.
 * @param subject - the process under test
 * @param maxDescriptors - bound of its open descriptors
 * @param act - what the crowd does; its connections stay open afterwards
 */
export async function checkCrowd (subject: Subject, maxDescriptors: number, act: () => Promise<void>): Promise<void> {
  const peak = { residentBytes: 0, descriptors: 0 }
  const sample = (): void => {
    if (!subject.isAlive()) return
    peak.residentBytes = Math.max(peak.residentBytes, residentBytes(subject.pid))
    peak.descriptors = Math.max(peak.descriptors, openDescriptors(subject.pid))
  }
  const sampler = setInterval(sample, sampleMs)
  try {
    await act()
    await delay(holdMs)
    await until('an ordinary request is answered', async () => !subject.isAlive() || await subject.serve().catch(() => false), servedWithinMs)
    sample()
  } finally {
    clearInterval(sampler)
  }
  const seen = `resident ${Math.round(peak.residentBytes / 1024 / 1024)} MiB, ${peak.descriptors} descriptors`
  console.log(seen)
  assert.ok(subject.isAlive(), `the process has ended; ${seen}\n${subject.output()}`)
  assert.ok(peak.residentBytes <= maxResidentBytes, seen)
  assert.ok(peak.descriptors <= maxDescriptors, seen)
}

/** Resident memory of a process; 0 once it has ended. */
export function residentBytes (pid: number): number {
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(readOrEmpty(() => readFileSync(`/proc/${pid}/status`, 'utf8')))
  return Number(match?.[1] ?? 0) * 1024
}

/** Number of open descriptors of a process; 0 once it has ended. */
export function openDescriptors (pid: number): number {
  return readOrEmpty(() => readdirSync(`/proc/${pid}/fd`).join('\n')).split('\n').length
}

function readOrEmpty (read: () => string): string {
  try {
    return read()
  } catch {
    return ''
  }
}
