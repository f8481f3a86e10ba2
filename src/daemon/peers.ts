// Links to the other members. A link is created by the first call of a member and
// closed when the member's address changes.

import { redirectedAddress } from '../config/index.js'
import type { Address, HostName, PeerMethod, PeerParams, PeerResult } from '../model/index.js'
import type { ListedHost } from '../members/index.js'
import { startAlarm, type Alarm } from '../pipe/index.js'
import { WireError } from '../ports/index.js'
import { peerClient, type PeerClient, type PeerTls } from '../wire/peer-link.js'
import type { DaemonContext } from './context.js'

/**
 * A link on which calls were sent and nothing came in for this time is reported
 * as failed, which starts an exchange of heartbeats.
 */
const maxUnansweredMs = 400
/** Shortest time between two such reports. */
const minUnansweredCheckMs = 200
/**
 * A link without a call for this time is closed. Longer than the heartbeat period of
 * a large fleet, so that only links to hosts without a common task are closed.
 */
const idleLinkMs = 15_000
const idleCheckMs = 5000

type Peer = {
  readonly address: string
  readonly client: PeerClient
  readonly calledAtMs: number
  readonly callsInProgress: number
}

/** Links to the other members. */
export class PeerLinks {
  readonly #context: DaemonContext
  readonly #onLinkFailed: (host: HostName) => void
  readonly #peers = new Map<HostName, Peer>()
  /** Goes off when the oldest call may have been unanswered for too long. */
  readonly #unanswered: Alarm
  #listed: ReadonlyMap<HostName, ListedHost> = new Map()

  /**
   * Starts without members.
   * @param context - settings and time
   * @param onLinkFailed - called with each member whose link failed or has unanswered calls
   */
  constructor (context: DaemonContext, onLinkFailed: (host: HostName) => void) {
    this.#context = context
    this.#onLinkFailed = onLinkFailed
    this.#unanswered = startAlarm(context.timers, { send: () => { this.#checkUnanswered(); return 'accepted' } })
    context.timers.every(idleCheckMs, { send: tick => { this.#closeIdle(tick.nowMs); return 'accepted' } })
  }

  /**
   * Applies the host list; links to hosts with another address now are closed.
   * @param hosts - the platform's list
   */
  updateHosts (hosts: readonly ListedHost[]): void {
    this.#listed = new Map(hosts.map(host => [host.host, host]))
    for (const [host, peer] of this.#peers) {
      if (addressOf(this.#listed.get(host)) !== peer.address) this.#drop(host, peer)
    }
  }

  /**
   * Calls a method of a member.
   * @param host - the member
   * @param method - the method
   * @param params - its parameters
   * @param timeoutMs - how long to wait for the answer
   * @returns the result; throws a `WireError`
   */
  async call<M extends PeerMethod> (host: HostName, method: M, params: PeerParams<M>, timeoutMs: number): Promise<PeerResult<M>> {
    this.#context.activity.add('peerCall', method)
    const peer = this.#peerFor(host)
    if (peer === undefined) throw new WireError('refused', `the host ${host} is not listed`)
    const calledAtMs = this.#context.timers.nowMs()
    this.#peers.set(host, { ...peer, calledAtMs, callsInProgress: peer.callsInProgress + 1 })
    this.#unanswered.set(calledAtMs + maxUnansweredMs)
    try {
      return await peer.client.call(method, params, timeoutMs)
    } catch (error) {
      this.#onLinkFailed(host)
      throw error
    } finally {
      this.#recordCallEnded(host, peer.client)
    }
  }

  /**
   * Calls a method of a host of which only the address is known, such as a seed.
   * @param address - where the host listens for other proxies
   * @param method - the method
   * @param params - its parameters
   * @param timeoutMs - how long to wait for the answer
   * @returns the result; throws a `WireError`
   */
  async callAddress<M extends PeerMethod> (address: Address, method: M, params: PeerParams<M>, timeoutMs: number): Promise<PeerResult<M>> {
    const { settings, timers, activity } = this.#context
    activity.add('peerCall', method)
    const client = peerClient(redirectedAddress(settings.links, address), timers, tlsOf(settings.peers))
    try {
      return await client.call(method, params, timeoutMs)
    } finally {
      client.close()
    }
  }

  /**
   * Drops the links to unresponsive hosts, so that no call waits for them.
   * @param unresponsive - the hosts
   */
  dropUnresponsive (unresponsive: ReadonlySet<HostName>): void {
    for (const [host, peer] of this.#peers) {
      if (unresponsive.has(host)) peer.client.disconnect()
    }
  }

  /** Reports links on which calls wait and nothing comes in. */
  #checkUnanswered (): void {
    let longestMs = 0
    for (const [host, peer] of this.#peers) {
      const unresponsiveMs = peer.client.unresponsiveMs()
      if (unresponsiveMs >= maxUnansweredMs) this.#onLinkFailed(host)
      longestMs = Math.max(longestMs, unresponsiveMs)
    }
    if (longestMs === 0) return
    this.#unanswered.set(this.#context.timers.nowMs() + Math.max(minUnansweredCheckMs, maxUnansweredMs - longestMs))
  }

  #recordCallEnded (host: HostName, client: PeerClient): void {
    const peer = this.#peers.get(host)
    if (peer?.client === client) this.#peers.set(host, { ...peer, callsInProgress: peer.callsInProgress - 1 })
  }

  #closeIdle (nowMs: number): void {
    for (const [host, peer] of this.#peers) {
      if (peer.callsInProgress === 0 && nowMs - peer.calledAtMs >= idleLinkMs) this.#drop(host, peer)
    }
  }

  /** Closes all links. */
  close (): void {
    for (const [host, peer] of this.#peers) this.#drop(host, peer)
  }

  #peerFor (host: HostName): Peer | undefined {
    const existing = this.#peers.get(host)
    if (existing !== undefined) return existing
    const listed = this.#listed.get(host)
    if (listed === undefined) return undefined
    const { settings, timers } = this.#context
    const client = peerClient(redirectedAddress(settings.links, listed), timers, tlsOf(settings.peers))
    const peer = { address: addressOf(listed), client, calledAtMs: timers.nowMs(), callsInProgress: 0 }
    this.#peers.set(host, peer)
    return peer
  }

  #drop (host: HostName, peer: Peer): void {
    peer.client.close()
    this.#peers.delete(host)
  }
}

function addressOf (host: ListedHost | undefined): string {
  return host === undefined ? '' : `${host.ip}:${host.port}`
}

/**
 * Returns the certificates for links between proxies.
 * @param transport - the setting
 * @returns the certificates, or undefined for plain TCP
 */
export function tlsOf (transport: DaemonContext['settings']['peers']): PeerTls | undefined {
  switch (transport.kind) {
    case 'plain': return undefined
    case 'mutualTls': return transport
  }
}
