// The end of a home's work on a planned stop. Other hosts learn from heartbeats
// that this one stops, some later than others. What still arrives is refused as
// "not run", so that its entry takes it to the next home; open transactions go
// on. Links close once nothing new has arrived for a while.

import { notRun, type ExecuteReply, type ExecuteRequest } from '../model/index.js'

/** Refuses new statements once the host's duties have moved. */
export class HandOver {
  #refusesSinceMs: number | undefined
  #refusedAtMs = -Infinity

  /**
   * Refuses new statements from now on.
   * @param nowMs - the time
   */
  begin (nowMs: number): void {
    this.#refusesSinceMs = nowMs
  }

  /**
   * Decides whether a statement may still start here.
   * @param request - the statement
   * @param nowMs - the time
   * @returns the refusal, or undefined where the statement runs
   */
  refusal (request: ExecuteRequest, nowMs: number): ExecuteReply | undefined {
    if (this.#refusesSinceMs === undefined || !startsWork(request)) return undefined
    this.#refusedAtMs = nowMs
    return {
      outcome: notRun('stopping', 'the home of the server is stopping'),
      transaction: undefined,
      primary: { database: request.database, term: 0, primary: undefined },
      applied: undefined
    }
  }

  /**
   * How long nothing was refused.
   * @param nowMs - the time
   * @returns milliseconds since the last refusal, or since refusals began; 0 before
   */
  quietMs (nowMs: number): number {
    if (this.#refusesSinceMs === undefined) return 0
    return nowMs - Math.max(this.#refusesSinceMs, this.#refusedAtMs)
  }
}

function startsWork (request: ExecuteRequest): boolean {
  switch (request.mode.kind) {
    case 'read':
    case 'write':
    case 'begin': return true
    case 'inTransaction':
    case 'commit':
    case 'rollback': return false
  }
}
