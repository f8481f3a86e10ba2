// Callers that keep writing while faults are injected, and the outcome of each
// of their statements.

import { connectCaller, type CallerLogin, type LocalCaller } from '../../standins/set/caller.js'
import type { LocalProxy, LocalSet } from '../../standins/set/local-set.js'

/** Outcome of one statement as its caller saw it. */
export type StatementOutcome =
  | { readonly kind: 'answered' }
  | { readonly kind: 'notRun', readonly message: string }
  | { readonly kind: 'unknown', readonly message: string }
  | { readonly kind: 'refused', readonly message: string }
  /** The connection closed before a response came. */
  | { readonly kind: 'lost', readonly message: string }

/**
 * Classifies the result of a statement.
 * @param call - the running statement
 * @returns outcome of the statement
 */
export async function statementOutcome (call: Promise<unknown>): Promise<StatementOutcome> {
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

/** One write of a caller with all its attempts. */
export type Write = {
  readonly id: number
  readonly startedAtMs: number
  readonly endedAtMs: number
  readonly attempts: ReadonlyArray<{ readonly proxy: string, readonly outcome: StatementOutcome }>
}

/** A caller that writes until it is stopped. */
export type Writer = {
  readonly writes: readonly Write[]
  /** Stops after the write in progress. */
  readonly stop: () => Promise<void>
}

export type WriterSpec = {
  readonly set: LocalSet
  readonly login: CallerLogin
  /** Proxies in the order in which attempts use them. */
  readonly proxies: readonly LocalProxy[]
  readonly firstId: number
  /** Called for each acknowledged write. */
  readonly onAcknowledged?: (write: Write) => void
}

const retryDelayMs = 20
const maxAttempts = 400

/**
 * Starts a caller that inserts one row after the other. After any failure it
 * sends the statement again through the next proxy, with the same request id.
 * @param spec - options of the writer
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

type Session = { readonly proxy: LocalProxy, readonly caller: LocalCaller }

async function run (spec: WriterSpec, state: { readonly stopping: boolean }, writes: Write[]): Promise<void> { // eslint-disable-line no-restricted-syntax -- filled while the writer runs
  let id = spec.firstId
  let proxyIndex = 0
  let session: Session | undefined
  while (!state.stopping) {
    const startedAtMs = performance.now()
    const attempts: Array<Write['attempts'][number]> = [] // eslint-disable-line no-restricted-syntax -- filled by each attempt
    for (;;) {
      const proxy = session?.proxy ?? spec.proxies[proxyIndex % spec.proxies.length] as LocalProxy
      const opened: Session | StatementOutcome = session ?? await open(proxy, spec.login)
      const result = 'kind' in opened ? opened : await statementOutcome(opened.caller.execute(insertText(id, proxy.name)))
      attempts.push({ proxy: proxy.name, outcome: result })
      session = 'kind' in opened ? undefined : opened
      if (result.kind === 'answered') break
      if (attempts.length >= maxAttempts) throw new Error(`write ${id}: ${result.kind} ${result.message}`)
      session?.caller.close()
      session = undefined
      proxyIndex += 1
      await new Promise(resolve => { setTimeout(resolve, retryDelayMs) })
    }
    const write = { id, startedAtMs, endedAtMs: performance.now(), attempts }
    writes.push(write)
    spec.onAcknowledged?.(write)
    id += 1
  }
  session?.caller.close()
}

async function open (proxy: LocalProxy, login: CallerLogin): Promise<Session | StatementOutcome> {
  try {
    return { proxy, caller: await connectCaller(proxy.mysql, login) }
  } catch (error) {
    return { kind: 'notRun', message: String(error) }
  }
}

function insertText (id: number, proxy: string): string {
  return `/* limpetmoor request_id=w${id} */ INSERT INTO tills (id, proxy, amount) VALUES (${id}, '${proxy}', 1)`
}

/** Login of one account of a set, to its first database. */
export function loginOf (set: LocalSet, account = set.options.accounts[0]?.name ?? ''): CallerLogin {
  return { account, key: set.keys.get(account) ?? '', route: set.options.databases[0] ?? '' }
}
