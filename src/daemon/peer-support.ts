// Keeps which other hosts take tokens for entry hosts; the rules are in
// src/admission/peer-support.ts.

import { noSupport, supportOf, supportStep, type PeerSupport, type SupportEvent, type SupportState } from '../admission/index.js'
import type { HostName } from '../model/index.js'

/** What is known of the other hosts' support. */
export class PeerSupportTable {
  readonly #self: HostName
  readonly #nowMs: () => number
  #state: SupportState = noSupport

  /**
   * Starts without knowledge.
   * @param self - this host, which always takes tokens for itself
   * @param nowMs - the monotonic clock
   */
  constructor (self: HostName, nowMs: () => number) {
    this.#self = self
    this.#nowMs = nowMs
  }

  /**
   * Records what was learnt of a host.
   * @param event - the event
   */
  record (event: SupportEvent): void {
    this.#state = supportStep(this.#state, event)
  }

  /**
   * Looks up whether a host takes tokens for entry hosts.
   * @param host - the host
   * @returns whether it does; `unknown` without recent evidence
   */
  supportOf (host: HostName): PeerSupport {
    return host === this.#self ? 'supported' : supportOf(this.#state, host, this.#nowMs())
  }
}
