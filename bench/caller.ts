// A caller session: a MySQL client that runs one operation after the other and
// can switch proxies. Each operation gives one record of the history.

import { createConnection, type Connection, type RowDataPacket } from 'mysql2/promise'
import type { Address } from '../src/model/index.js'
import type { Operation, OperationOutcome, OperationRequest } from './history.js'
import type { Arrival } from './schedule.js'

/** Table that the load writes to. */
export const factTable = 'facts'
export const createFactTable = `CREATE TABLE IF NOT EXISTS ${factTable} (operation BIGINT, part BIGINT, register BIGINT, value BIGINT)`
export const createFactIndex = `CREATE INDEX facts_by_register ON ${factTable} (register, value)`

/** Time limit of a caller for one response. */
const answerTimeoutMs = 20_000
const connectTimeoutMs = 5_000
/**
 * Fraction of the writes that carry a request id and are retried if their
 * outcome is unknown.
 */
const retriedFraction = 0.25

/** Login of a caller and the proxies that it can use. */
export type CallerTarget = {
  readonly account: string
  readonly key: string
  readonly database: string
  /** Addresses of all proxies; operations refer to them by index. */
  readonly proxies: readonly Address[]
}

type StatementResult =
  | { readonly kind: 'rows', readonly rows: ReadonlyArray<Readonly<Record<string, unknown>>> }
  | Exclude<OperationOutcome, { readonly kind: 'answered' }>

/** A session that can switch between proxies. */
export class Caller {
  readonly #target: CallerTarget
  #proxy: number
  #connection: Connection | undefined
  #token: string | undefined
  #lastValue = 0

  constructor (readonly session: number, target: CallerTarget, proxy: number) {
    this.#target = target
    this.#proxy = proxy
  }

  /**
   * Runs one operation.
   * @param arrival - the scheduled operation
   * @param register - register of bounded-staleness and latest reads; session
   * reads and writes use the session's own register
   * @param scheduledMs - scheduled time, on the clock of the history
   * @returns record of the operation
   */
  async run (arrival: Arrival, register: number, scheduledMs: number): Promise<Operation> {
    await this.#applyMovement(arrival)
    await this.connect()
    const request = this.#request(arrival, register)
    const startMs = performance.now()
    const { outcome, admittedStatements } = await this.#perform(arrival, request)
    return {
      id: arrival.id,
      account: this.#target.account,
      session: this.session,
      database: this.#target.database,
      proxy: this.#proxy,
      request,
      scheduledMs,
      startMs,
      endMs: performance.now(),
      admittedStatements,
      outcome
    }
  }

  /** Connects in advance; a failure appears with the next statement. */
  async connect (): Promise<void> {
    await this.#open().catch(() => {})
  }

  /** Closes the connection and drops the session token, which may be out of date. */
  close (): void {
    this.#connection?.destroy()
    this.#connection = undefined
    this.#token = undefined
  }

  #request (arrival: Arrival, register: number): OperationRequest {
    const { intent } = arrival
    switch (intent.kind) {
      case 'sessionRead': return { kind: 'sessionRead', register: this.session }
      case 'boundedStalenessRead': return { kind: 'boundedStalenessRead', register, maxAgeMs: intent.maxAgeMs }
      case 'latestRead': return { kind: 'latestRead', register }
      case 'write': return { kind: 'write', register: this.session, value: this.#nextValue(1) }
      case 'transaction': return { kind: 'transaction', register: this.session, value: this.#nextValue(2) }
    }
  }

  #nextValue (count: number): number {
    const value = this.#lastValue + 1
    this.#lastValue += count
    return value
  }

  async #applyMovement ({ movement }: Arrival): Promise<void> {
    switch (movement.kind) {
      case 'stay': return
      case 'roam': {
        const token = movement.withToken ? await this.#readToken() : undefined
        this.close()
        this.#token = token
        this.#proxy = movement.proxy
      }
    }
  }

  async #readToken (): Promise<string | undefined> {
    if (this.#connection === undefined) return undefined
    const result = await this.#execute('SELECT @@limpetmoor_session')
    if (result.kind !== 'rows') return undefined
    const token = Object.values(result.rows[0] ?? {})[0]
    return typeof token === 'string' ? token : undefined
  }

  async #perform (arrival: Arrival, request: OperationRequest): Promise<{ readonly outcome: OperationOutcome, readonly admittedStatements: number }> {
    switch (request.kind) {
      case 'sessionRead': return fromOneStatement(await this.#execute(readText('', arrival.id, request.register)))
      case 'boundedStalenessRead': return fromOneStatement(await this.#execute(readText(`/* limpetmoor max_age_ms=${request.maxAgeMs} */ `, arrival.id, request.register)))
      case 'latestRead': return fromOneStatement(await this.#execute(readText('/* limpetmoor latest */ ', arrival.id, request.register)))
      case 'write': return await this.#write(arrival, request)
      case 'transaction': return await this.#transaction(arrival, request)
    }
  }

  async #write (arrival: Arrival, request: OperationRequest & { readonly kind: 'write' }): Promise<{ readonly outcome: OperationOutcome, readonly admittedStatements: number }> {
    const insert = insertText(arrival.id, 0, request.register, request.value)
    if (arrival.draw >= retriedFraction) return fromOneStatement(await this.#execute(insert))
    const text = `/* limpetmoor request_id=op-${arrival.id} */ ${insert}`
    const first = fromOneStatement(await this.#execute(text))
    if (first.outcome.kind !== 'unknown') return first
    this.close()
    this.#proxy = (this.#proxy + 1) % this.#target.proxies.length
    const second = fromOneStatement(await this.#execute(text))
    // If the retry is rejected, the outcome of the first attempt is still unknown.
    const outcome = second.outcome.kind === 'answered' ? second.outcome : first.outcome
    return { outcome, admittedStatements: first.admittedStatements + second.admittedStatements }
  }

  async #transaction (arrival: Arrival, request: OperationRequest & { readonly kind: 'transaction' }): Promise<{ readonly outcome: OperationOutcome, readonly admittedStatements: number }> {
    const texts = [
      'BEGIN',
      insertText(arrival.id, 0, request.register, request.value),
      insertText(arrival.id, 1, request.register, request.value + 1)
    ]
    let admittedStatements = 0
    for (const text of texts) {
      const result = await this.#execute(text)
      if (result.kind !== 'rows') {
        await this.#rollBack()
        // Nothing is committed before COMMIT, so an unknown outcome of an earlier
        // statement counts as not run.
        const outcome: OperationOutcome = result.kind === 'unknown' ? { kind: 'notRun', reason: 'transactionNotCommitted' } : result
        return { outcome, admittedStatements }
      }
      admittedStatements += 1
    }
    return { outcome: outcomeOf(await this.#execute('COMMIT')), admittedStatements }
  }

  async #rollBack (): Promise<void> {
    if (this.#connection === undefined) return
    const result = await this.#execute('ROLLBACK')
    if (result.kind !== 'rows') this.close()
  }

  async #execute (sql: string): Promise<StatementResult> {
    let connection: Connection
    try {
      connection = await this.#open()
    } catch (error) {
      return errorOutcome(error) ?? { kind: 'notRun', reason: 'connect' }
    }
    try {
      const [rows] = await connection.query<RowDataPacket[]>({ sql, timeout: answerTimeoutMs })
      return { kind: 'rows', rows: Array.isArray(rows) ? rows : [] }
    } catch (error) {
      const outcome = errorOutcome(error)
      if (outcome !== undefined) return outcome
      this.close()
      return { kind: 'unknown', reason: errorCode(error) }
    }
  }

  async #open (): Promise<Connection> {
    if (this.#connection !== undefined) return this.#connection
    const { account, key, database, proxies } = this.#target
    const address = proxies[this.#proxy]
    if (address === undefined) throw new RangeError(`no proxy ${this.#proxy}`)
    const connection = await createConnection({
      host: address.ip,
      port: address.port,
      user: account,
      password: key,
      database,
      connectTimeout: connectTimeoutMs,
      ...(this.#token === undefined ? {} : { connectAttributes: { limpetmoor_session: this.#token } })
    })
    connection.on('error', () => { if (this.#connection === connection) this.close() })
    this.#connection = connection
    return connection
  }
}

function readText (hint: string, operation: number, register: number): string {
  return `${hint}SELECT MAX(value) AS op_${operation} FROM ${factTable} WHERE register = ${register}`
}

function insertText (operation: number, part: number, register: number, value: number): string {
  return `INSERT INTO ${factTable} (operation, part, register, value) VALUES (${operation}, ${part}, ${register}, ${value})`
}

function fromOneStatement (result: StatementResult): { readonly outcome: OperationOutcome, readonly admittedStatements: number } {
  return { outcome: outcomeOf(result), admittedStatements: result.kind === 'notRun' ? 0 : 1 }
}

function outcomeOf (result: StatementResult): OperationOutcome {
  switch (result.kind) {
    case 'rows': return { kind: 'answered', value: Number(Object.values(result.rows[0] ?? {})[0] ?? 0) }
    case 'notRun':
    case 'refused':
    case 'unknown': return result
  }
}

/** Outcome given by a MySQL error packet; undefined if the connection failed. */
function errorOutcome (error: unknown): Exclude<OperationOutcome, { readonly kind: 'answered' }> | undefined {
  const { message = '', errno, fatal } = error as { readonly message?: string, readonly errno?: number, readonly fatal?: boolean }
  const notRun = /not run \((\w+)\)/.exec(message)?.[1]
  if (notRun !== undefined) return { kind: 'notRun', reason: notRun }
  const unknown = /outcome unknown \((\w+)\)/.exec(message)?.[1]
  if (unknown !== undefined) return { kind: 'unknown', reason: unknown }
  if (errno === undefined || errno < 1000 || fatal === true) return undefined
  return { kind: 'refused', errorNumber: errno, message }
}

function errorCode (error: unknown): string {
  return (error as { readonly code?: string }).code ?? 'connection'
}
