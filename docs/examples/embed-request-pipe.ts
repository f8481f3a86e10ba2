// Embeds the request pipe without any socket: a custom front end (here a
// function) sends statements, and a custom executor (here a map) answers them.

import { request, runPipe, type ExecuteRequest, type KeyDeclaration, type Manifest, type Outcome, type ParsedStatement, type Position } from '../../src/index.js'

/** The key of the client account below. */
export const exampleKey: KeyDeclaration = { id: 'k1', digest: '0'.repeat(40) }

/** A manifest with one client account and one database. */
export const exampleManifest: Manifest = {
  accounts: [{ name: 'bindery', keys: [exampleKey], ratePerS: 10, burst: 10, weight: 1 }],
  databases: [{ name: 'orders', state: 'active', servers: [{ name: 's1', ip: '127.0.0.1', port: 3306, failureDomain: 'a', slots: 5, maxConnections: 75, state: 'active' }] }],
  routes: [{ name: 'orders', database: 'orders', access: { kind: 'accounts', accounts: ['bindery'] } }],
  anonymous: { ratePerS: 1, burst: 1 },
  seats: 1
}

/** Runs statements against a map from statement to value, and maintains a log position. */
export class MapExecutor {
  readonly #values: ReadonlyMap<string, string>
  #index = 0

  /**
   * Creates an executor.
   * @param values - the value that each read returns
   */
  constructor (values: ReadonlyMap<string, string>) {
    this.#values = values
  }

  /**
   * Runs one statement.
   * @param asked - the request to run the statement
   * @returns the outcome of the statement
   */
  run (asked: ExecuteRequest): Outcome {
    if (asked.mode.kind === 'read') return this.#answer([[this.#values.get(asked.statement.text) ?? null]])
    this.#index += 1
    const position: Position = { term: 1, index: this.#index }
    return { kind: 'answered', answer: { kind: 'done', affectedRows: 1, insertId: 0 }, position, servedBy: 'primary' }
  }

  #answer (rows: ReadonlyArray<ReadonlyArray<string | null>>): Outcome {
    return { kind: 'answered', answer: { kind: 'rows', columns: [], rows }, position: undefined, servedBy: 'replica' }
  }
}

/**
 * Serves one statement of one caller.
 * @param session - the caller's session; the first one comes from `request.openSessionState`
 * @param statement - the statement, as parsed by the front end
 * @param executor - runs the statement
 * @param nowMs - monotonic time in milliseconds
 * @returns the answer and the session for the next statement
 */
export async function serveOne (session: request.SessionState, statement: ParsedStatement, executor: MapExecutor, nowMs: number): Promise<request.RequestResult> {
  const services: request.RequestServices = {
    nowMs: () => nowMs,
    sleep: async () => {},
    configuration: () => ({ manifest: exampleManifest, confirmed: true }),
    admit: async () => undefined,
    admitOrDelegate: async () => ({ kind: 'admitted' }),
    dispatcherSupport: () => 'unsupported',
    onDelegationRefused: () => {},
    routing: database => ({ primary: { database, term: 1, primary: 's1' }, dispatchers: new Map([['s1', 'here']]), applied: new Map() }),
    execute: async (_home, asked) => ({
      kind: 'replied',
      reply: { outcome: executor.run(asked), transaction: undefined, primary: { database: asked.database, term: 1, primary: 's1' }, newest: undefined, applied: undefined }
    }),
    onAppliedPosition: () => {},
    random: () => 0,
    encodeToken: floors => JSON.stringify(floors),
    decodeToken: token => JSON.parse(token),
    containsKey: () => false
  }
  const bounds = { self: 'here', localFailureDomain: 'a', defaultDeadlineMs: 1000, maxDeadlineMs: 1000, rules: request.mysqlSessionRules, strongReadsAt: 'anyServer' as const }
  const pipe = request.requestPipe(services, bounds)
  return await runPipe(pipe, { session, statement: { ...statement, caller: session.caller, route: session.route, receivedAtMs: nowMs } })
}
