// Stand-in of one group of line-protocol servers: a log with terms, replicas that
// receive and apply it with a delay, pauses, demotions and promotions. This is the
// state that the servers of a group share; `server.ts` holds the sockets.

/** One committed write. */
export type Entry = { readonly term: number, readonly index: number, readonly item: string, readonly data: string, readonly id: string }

/** Delays of a group. */
export type GroupTimes = {
  /** Delay until a replica has received an entry. */
  readonly receiveMs: number
  /** Delay until a replica has applied a received entry. */
  readonly applyMs: number
  /** Delay until an ordered promotion takes effect. */
  readonly promoteMs: number
}

/** One server of a group. */
export type ServerNode = {
  readonly id: string
  role: 'primary' | 'replica' // eslint-disable-line no-restricted-syntax -- the state of a stand-in changes
  term: number // eslint-disable-line no-restricted-syntax -- the state of a stand-in changes
  /** Term for which replication is paused; 0 if it is not. */
  pausedAt: number // eslint-disable-line no-restricted-syntax -- the state of a stand-in changes
  log: readonly Entry[] // eslint-disable-line no-restricted-syntax -- the state of a stand-in changes
  /** Number of applied entries. */
  applied: number // eslint-disable-line no-restricted-syntax -- the state of a stand-in changes
  isUp: boolean // eslint-disable-line no-restricted-syntax -- the state of a stand-in changes
}

/** A group of servers. */
export class Group {
  readonly nodes: readonly ServerNode[]
  readonly #times: GroupTimes
  readonly #timers = new Set<NodeJS.Timeout>()

  /**
   * Creates a group whose first server is the primary of term 1.
   * @param ids - ids of its servers
   * @param times - its delays
   */
  constructor (ids: readonly string[], times: GroupTimes) {
    this.#times = times
    this.nodes = ids.map((id, at): ServerNode => ({ id, role: at === 0 ? 'primary' : 'replica', term: 1, pausedAt: 0, log: [], applied: 0, isUp: true }))
  }

  /**
   * Returns a server by id.
   * @param id - its id
   * @returns the server
   */
  node (id: string): ServerNode {
    const found = this.nodes.find(node => node.id === id)
    if (found === undefined) throw new RangeError(`unknown server ${id}`)
    return found
  }

  /**
   * Commits writes on the primary.
   * @param node - the primary
   * @param writes - the writes
   */
  commit (node: ServerNode, writes: ReadonlyArray<Pick<Entry, 'item' | 'data' | 'id'>>): void {
    for (const write of writes) node.log = [...node.log, { ...write, term: node.term, index: node.log.length + 1 }]
    node.applied = node.log.length
    if (writes.length > 0) this.#schedule(this.#times.receiveMs, () => { this.#replicate(node) })
  }

  /**
   * Orders a promotion.
   * @param id - the server to promote
   * @returns false if it is not running
   */
  promote (id: string): boolean {
    const target = this.node(id)
    if (!target.isUp) return false
    if (target.role === 'primary' && this.nodes.every(node => node.term <= target.term)) return true
    this.#schedule(this.#times.promoteMs, () => {
      if (!target.isUp) return
      target.term = Math.max(...this.nodes.map(node => node.term)) + 1
      target.role = 'primary'
      target.pausedAt = 0
      target.applied = target.log.length
      this.#replicate(target)
    })
    return true
  }

  /**
   * Demotes a primary of a lower term to a replica.
   * @param node - the server
   * @param term - the term that supersedes it
   */
  demote (node: ServerNode, term: number): void {
    if (node.role !== 'primary' || node.term >= term) return
    node.role = 'replica'
    this.resume(node)
  }

  /**
   * Resumes replication to a server.
   * @param node - the server
   */
  resume (node: ServerNode): void {
    node.pausedAt = 0
    const primary = this.#primary()
    if (primary !== undefined && primary !== node) this.#schedule(this.#times.receiveMs, () => { this.#replicate(primary) })
  }

  /** Cancels all timers. */
  stop (): void {
    for (const timer of this.#timers) clearTimeout(timer)
  }

  #primary (): ServerNode | undefined {
    return this.nodes.filter(node => node.role === 'primary' && node.isUp).sort((a, b) => b.term - a.term)[0]
  }

  #replicate (from: ServerNode): void {
    if (!from.isUp || this.#primary() !== from) return
    for (const node of this.nodes) {
      if (node === from || node.role === 'primary' || !node.isUp || node.pausedAt > 0) continue
      node.term = from.term
      node.log = from.log
      this.#schedule(this.#times.applyMs, () => { node.applied = node.log.length })
    }
  }

  #schedule (delayMs: number, run: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer)
      run()
    }, delayMs)
    this.#timers.add(timer)
  }
}

/**
 * Returns the position that a server has received.
 * @param node - the server
 * @returns the position as TERM.INDEX
 */
export function receivedText (node: ServerNode): string {
  const last = node.log.at(-1)
  return `${last?.term ?? 1}.${node.log.length}`
}

/**
 * Returns the position that a server has applied.
 * @param node - the server
 * @returns the position as TERM.INDEX
 */
export function appliedText (node: ServerNode): string {
  const last = node.log[node.applied - 1]
  return `${last?.term ?? 1}.${node.applied}`
}

/**
 * Checks whether a server has applied a position.
 * @param node - the server
 * @param position - the position as TERM.INDEX
 * @returns true if it has
 */
export function hasApplied (node: ServerNode, position: string): boolean {
  const [term = 0, index = 0] = position.split('.').map(Number)
  const [appliedTerm = 0, appliedIndex = 0] = appliedText(node).split('.').map(Number)
  return appliedTerm > term || (appliedTerm === term && appliedIndex >= index)
}
