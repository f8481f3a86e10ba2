// The links to the other members. A link is made when somebody calls the
// member and given up when the member moves to another address.

import { redirected } from '../config/index.js'
import type { Address, HostName, PeerMethod, PeerParams, PeerResult } from '../model/index.js'
import type { ListedHost } from '../members/index.js'
import { WireError } from '../ports/index.js'
import { peerClient, type PeerClient, type PeerTls } from '../wire/peer-link.js'
import type { DaemonContext } from './context.js'

/** Calls that wait this long on a link where nothing comes in start an exchange of heartbeats. */
const quietLinkMs = 400
const lookEveryMs = 200

type KnownPeer = {
  readonly address: string
  readonly client: PeerClient
}

/** The links to the other members. */
export class PeerLinks {
  readonly #context: DaemonContext
  readonly #onLinkFailed: (host: HostName) => void
  readonly #peers = new Map<HostName, KnownPeer>()
  #listed: ReadonlyMap<HostName, ListedHost> = new Map()

  /**
   * Makes the directory; it knows nobody yet.
   * @param context - settings and time
   * @param onLinkFailed - told of a member that did not answer
   */
  constructor (context: DaemonContext, onLinkFailed: (host: HostName) => void) {
    this.#context = context
    this.#onLinkFailed = onLinkFailed
    context.timers.every(lookEveryMs, { send: () => { this.#lookForQuiet(); return 'accepted' } })
  }

  /**
   * Takes the list of the hosts that there may be.
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
    const peer = this.#peerFor(host)
    if (peer === undefined) throw new WireError('refused', `the host ${host} is not listed`)
    try {
      return await peer.client.call(method, params, timeoutMs)
    } catch (error) {
      this.#onLinkFailed(host)
      throw error
    }
  }

  /**
   * Calls a method of a host that is known by its address only.
   * @param address - where it listens for other proxies
   * @param method - the method
   * @param params - its parameters
   * @param timeoutMs - how long to wait for the answer
   * @returns the result; throws a `WireError`
   */
  async callAddress<M extends PeerMethod> (address: Address, method: M, params: PeerParams<M>, timeoutMs: number): Promise<PeerResult<M>> {
    const { settings, timers } = this.#context
    const client = peerClient(redirected(settings.links, address), timers, tlsOf(settings.peers))
    try {
      return await client.call(method, params, timeoutMs)
    } finally {
      client.close()
    }
  }

  /**
   * Gives up the links to hosts that were found silent, so that nobody waits for them.
   * @param silent - the hosts
   */
  dropUnresponsive (silent: ReadonlySet<HostName>): void {
    for (const [host, peer] of this.#peers) {
      if (silent.has(host)) peer.client.disconnect()
    }
  }

  /** Looks for links on which calls wait and nothing comes in. */
  #lookForQuiet (): void {
    for (const [host, peer] of this.#peers) {
      if (peer.client.unresponsiveMs() >= quietLinkMs) this.#onLinkFailed(host)
    }
  }

  /** Gives up all links. */
  close (): void {
    for (const [host, peer] of this.#peers) this.#drop(host, peer)
  }

  #peerFor (host: HostName): KnownPeer | undefined {
    const known = this.#peers.get(host)
    if (known !== undefined) return known
    const listed = this.#listed.get(host)
    if (listed === undefined) return undefined
    const { settings, timers } = this.#context
    const client = peerClient(redirected(settings.links, listed), timers, tlsOf(settings.peers))
    const peer = { address: addressOf(listed), client }
    this.#peers.set(host, peer)
    return peer
  }

  #drop (host: HostName, peer: KnownPeer): void {
    peer.client.close()
    this.#peers.delete(host)
  }
}

function addressOf (host: ListedHost | undefined): string {
  return host === undefined ? '' : `${host.ip}:${host.port}`
}

/**
 * Gives the certificates for links between proxies.
 * @param transport - the setting
 * @returns the certificates, or undefined for plain TCP
 */
export function tlsOf (transport: DaemonContext['settings']['peers']): PeerTls | undefined {
  switch (transport.kind) {
    case 'plain': return undefined
    case 'mutualTls': return transport
  }
}
