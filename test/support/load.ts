// Callers that go on working while something fails, and what became of each of
// their statements.

import { connectCaller, type CallerLogin, type LocalCaller } from '../../standins/set/caller.js'
import type { LocalProxy, LocalSet } from '../../standins/set/local-set.js'

/** What a caller was told of one statement. */
export type Told =
  | { readonly kind: 'answered' }
  | { readonly kind: 'notRun', readonly message: string }
  | { readonly kind: 'unknown', readonly message: string }
  | { readonly kind: 'refused', readonly message: string }
  /** The connection ended without an answer. */
  | { readonly kind: 'lost', readonly message: string }

/**
 * Sorts what a caller was told.
 * @param call - the call
 * @returns what it was told
 */
export async function told (call: Promise<unknown>): Promise<Told> {
  try {
    await call
    return { kind: 'answered' }
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error)
    const { errno = 0 } = error as { readonly errno?: number }
    if (message.startsWith('not run (')) return { kind: 'notRun', message }
    if (message.startsWith('outcome unknown (')) return { kind: 'unknown', message }
    return { kind: errno > 0 ? 'refused' : 'lost', message }
  }
}

/** One write that a caller made, as often as it took. */
export type Write = {
  readonly id: number
  readonly startedAtMs: number
  readonly endedAtMs: number
  readonly attempts: ReadonlyArray<{ readonly proxy: string, readonly told: Told }>
}

/** A caller that writes until it is told to stop. */
export type Writer = {
  readonly writes: readonly Write[]
  /** Ends after the write in hand. */
  readonly stop: () => Promise<void>
}

export type WriterSpec = {
  readonly set: LocalSet
  readonly login: CallerLogin
  /** Proxies in the order in which they are tried. */
  readonly proxies: readonly LocalProxy[]
  readonly firstId: number
  /** Told of each write that has been acknowledged. */
  readonly onWritten?: (write: Write) => void
}

const retryDelayMs = 20
const maxAttempts = 400

/**
 * Starts a caller that inserts one row after the other. A statement that was
 * not answered is sent again under its request id, through the next proxy.
 * @param spec - how it works
 * @returns the running writer
 */
export function startWriter (spec: WriterSpec): Writer {
  const writes: Write[] = []
  const state = { stopping: false }
  const ended = run(spec, state, writes)
  return {
    writes,
    stop: async () => {
      state.stopping = true
      await ended
    }
  }
}

type Seat = { readonly proxy: LocalProxy, readonly caller: LocalCaller }

async function run (spec: WriterSpec, state: { readonly stopping: boolean }, writes: Write[]): Promise<void> { // eslint-disable-line no-restricted-syntax -- grows while the writer works
  let id = spec.firstId
  let turn = 0
  let seat: Seat | undefined
  while (!state.stopping) {
    const startedAtMs = performance.now()
    const attempts: Array<Write['attempts'][number]> = [] // eslint-disable-line no-restricted-syntax -- grows with each attempt
    for (;;) {
      const proxy = seat?.proxy ?? spec.proxies[turn % spec.proxies.length] as LocalProxy
      const opened: Seat | Told = seat ?? await open(proxy, spec.login)
      const outcome = 'kind' in opened ? opened : await told(opened.caller.changed(insertText(id, proxy.name)))
      attempts.push({ proxy: proxy.name, told: outcome })
      seat = 'kind' in opened ? undefined : opened
      if (outcome.kind === 'answered') break
      if (attempts.length >= maxAttempts) throw new Error(`write ${id}: ${outcome.kind} ${outcome.message}`)
      seat?.caller.close()
      seat = undefined
      turn += 1
      await new Promise(resolve => { setTimeout(resolve, retryDelayMs) })
    }
    const write = { id, startedAtMs, endedAtMs: performance.now(), attempts }
    writes.push(write)
    spec.onWritten?.(write)
    id += 1
  }
  seat?.caller.close()
}

async function open (proxy: LocalProxy, login: CallerLogin): Promise<Seat | Told> {
  try {
    return { proxy, caller: await connectCaller(proxy.mysql, login) }
  } catch (error) {
    return { kind: 'notRun', message: String(error) }
  }
}

function insertText (id: number, proxy: string): string {
  return `/* limpetmoor request_id=w${id} */ INSERT INTO tills (id, proxy, amount) VALUES (${id}, '${proxy}', 1)`
}

/** Login of one of a set's accounts. */
export function loginOf (set: LocalSet, account = set.options.accounts[0]?.name ?? ''): CallerLogin {
  return { account, key: set.keys.get(account) ?? '', route: set.options.databases[0] ?? '' }
}
