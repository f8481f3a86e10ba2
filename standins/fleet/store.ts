// Stand-in of the users' metadata store: objects with revisions, conditional
// updates and watches over HTTP. It runs in the process that starts it and keeps
// all data in memory. It can return from a copy of an earlier time; each such
// restore raises the era that all answers carry.

import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** An object of the store. */
export type FleetObject = {
  readonly name: string
  readonly revision: number
  readonly created: number
  readonly spec: unknown
}

/** Faults that a test injects. */
export type StoreFaults = {
  /** Every request is answered with status 503. */
  readonly refuseAll: boolean
  /** Requests are read and never answered. */
  readonly unresponsive: boolean
  /** Number of further updates that take effect without a response. */
  readonly dropAnswers: number
  /** Delay of every response. */
  readonly delayMs: number
}

const noFaults: StoreFaults = { refuseAll: false, unresponsive: false, dropAnswers: 0, delayMs: 0 }

type Change = { readonly kind: string, readonly revision: number, readonly object: FleetObject, readonly isDeleted: boolean }

/** The objects as they were after one change. */
type Copy = { readonly atMs: number, readonly revision: number, readonly objects: ReadonlyMap<string, ReadonlyMap<string, FleetObject>> }

/** Time for which copies are kept. */
const copyRetentionMs = 60_000

type Answer = { readonly status: number, readonly body?: unknown }

/** The running store. */
export class FleetStore {
  readonly #server = createServer((request, response) => { void this.#serve(request, response).catch(() => { response.destroy() }) })
  readonly #waiters = new Set<() => void>()
  readonly #calls = new Map<string, number>()
  #objects = new Map<string, Map<string, FleetObject>>()
  #changes: readonly Change[] = []
  #copies: readonly Copy[] = []
  #era = 0
  #compactedRevision = 0
  #revision = 100
  #faults = noFaults

  /**
   * Starts to listen.
   * @returns the port
   */
  async start (): Promise<number> {
    await new Promise<void>(resolve => { this.#server.listen(0, '127.0.0.1', resolve) })
    return (this.#server.address() as AddressInfo).port
  }

  /** Closes all connections and stops listening. */
  async stop (): Promise<void> {
    this.#server.closeAllConnections()
    await new Promise(resolve => { this.#server.close(resolve) })
  }

  /**
   * Injects faults in place of the current ones.
   * @param faults - the faults; those not given are off
   */
  injectFaults (faults: Partial<StoreFaults>): void {
    this.#faults = { ...noFaults, ...faults }
  }

  /**
   * Discards the change history; watches since an earlier revision are answered
   * with 410.
   */
  compact (): void {
    this.#changes = []
    this.#compactedRevision = this.#revision
    for (const wake of [...this.#waiters]) wake()
  }

  /**
   * Returns to a copy of an earlier time. What was written since is lost, and its
   * revisions are assigned again. All connections are closed, with the requests
   * on them.
   * @param ageMs - age of the copy
   */
  restoreCopy (ageMs: number): void {
    const takenAtMs = Date.now() - ageMs
    const copy = this.#copies.findLast(each => each.atMs <= takenAtMs) ?? { revision: 100, objects: new Map() }
    this.#era += 1
    this.#revision = copy.revision
    this.#objects = new Map([...copy.objects].map(([kind, objects]) => [kind, new Map(objects)]))
    this.#changes = this.#changes.filter(change => change.revision <= copy.revision)
    this.#copies = this.#copies.filter(each => each.atMs <= takenAtMs)
    this.#server.closeAllConnections()
    for (const wake of [...this.#waiters]) wake()
  }

  /**
   * Returns the number of restores.
   * @returns the era that the answers carry
   */
  era (): number {
    return this.#era
  }

  /**
   * Writes an object on behalf of the operator or of a server.
   * @param kind - its kind
   * @param name - its name
   * @param spec - its value
   */
  put (kind: string, name: string, spec: unknown): void {
    const before = this.#objects.get(kind)?.get(name)
    if (before !== undefined && JSON.stringify(before.spec) === JSON.stringify(spec)) return
    this.#revision += 1
    this.#change(kind, { name, revision: this.#revision, created: before?.created ?? this.#revision, spec }, false)
  }

  /**
   * Removes an object.
   * @param kind - its kind
   * @param name - its name
   */
  remove (kind: string, name: string): void {
    const before = this.#objects.get(kind)?.get(name)
    if (before === undefined) return
    this.#revision += 1
    this.#change(kind, { ...before, revision: this.#revision }, true)
  }

  /**
   * Reads an object.
   * @param kind - its kind
   * @param name - its name
   * @returns the object, or undefined
   */
  get (kind: string, name: string): FleetObject | undefined {
    return this.#objects.get(kind)?.get(name)
  }

  /**
   * Returns the number of calls by method and kind.
   * @returns the counts, by `METHOD KIND`
   */
  calls (): ReadonlyMap<string, number> {
    return this.#calls
  }

  #change (kind: string, object: FleetObject, isDeleted: boolean): void {
    const objects = this.#objects.get(kind) ?? new Map<string, FleetObject>()
    if (isDeleted) objects.delete(object.name)
    else objects.set(object.name, object)
    this.#objects.set(kind, objects)
    this.#changes = [...this.#changes, { kind, revision: object.revision, object, isDeleted }]
    const atMs = Date.now()
    const copied = new Map([...this.#objects].map(([each, of]) => [each, each === kind ? new Map(of) : this.#copies.at(-1)?.objects.get(each) ?? new Map(of)]))
    this.#copies = [...this.#copies.filter(copy => atMs - copy.atMs < copyRetentionMs), { atMs, revision: this.#revision, objects: copied }]
    for (const wake of [...this.#waiters]) wake()
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await bodyOf(request)
    const url = new URL(request.url ?? '/', 'http://store')
    const [, root, kind = '', name] = url.pathname.split('/').map(decodeURIComponent)
    const { refuseAll, unresponsive: isUnresponsive, delayMs } = this.#faults
    const key = `${request.method ?? ''} ${kind}`
    this.#calls.set(key, (this.#calls.get(key) ?? 0) + 1)
    if (isUnresponsive) return
    const answer = refuseAll ? { status: 503 } : root === 'objects' ? await this.#answer(request.method ?? '', kind, name, url.searchParams, body) : { status: 404 }
    const isUpdate = request.method !== 'GET' && answer.status < 300
    if (isUpdate && this.#faults.dropAnswers > 0) {
      this.#faults = { ...this.#faults, dropAnswers: this.#faults.dropAnswers - 1 }
      response.destroy()
      return
    }
    if (delayMs > 0) await new Promise(resolve => { setTimeout(resolve, delayMs) })
    response.writeHead(answer.status, { 'content-type': 'application/json', 'store-era': this.#era }).end(answer.body === undefined ? '' : JSON.stringify(answer.body))
  }

  async #answer (method: string, kind: string, name: string | undefined, query: URLSearchParams, body: unknown): Promise<Answer> {
    switch (method) {
      case 'GET': {
        const watched = query.get('Watch')
        if (watched !== null) return await this.#watch(kind, Number(watched), Number(query.get('WaitMs') ?? 0))
        return name === undefined ? this.#list(kind) : this.#read(kind, name)
      }
      case 'POST': return this.#create(kind, body)
      case 'PUT': return this.#replace(kind, name ?? '', body)
      case 'DELETE': return this.#delete(kind, name ?? '', query.get('Revision'))
      default: return { status: 405 }
    }
  }

  #list (kind: string): Answer {
    const items = [...(this.#objects.get(kind)?.values() ?? [])].map(objectJson)
    return { status: 200, body: { items, More: false, AsOf: this.#revision } }
  }

  #read (kind: string, name: string): Answer {
    const object = this.get(kind, name)
    return object === undefined ? { status: 404 } : { status: 200, body: objectJson(object) }
  }

  #create (kind: string, body: unknown): Answer {
    const { meta, spec } = body as { readonly meta: { readonly Name: string }, readonly spec: unknown }
    const existing = this.get(kind, meta.Name)
    if (existing !== undefined) return { status: 409, body: objectJson(existing) }
    this.put(kind, meta.Name, spec)
    return this.#read(kind, meta.Name)
  }

  #replace (kind: string, name: string, body: unknown): Answer {
    const { meta, spec } = body as { readonly meta: { readonly Revision?: number }, readonly spec: unknown }
    const existing = this.get(kind, name)
    if (existing === undefined) return { status: 404 }
    if (meta.Revision !== undefined && meta.Revision !== existing.revision) return { status: 409, body: objectJson(existing) }
    this.put(kind, name, spec)
    return this.#read(kind, name)
  }

  #delete (kind: string, name: string, revision: string | null): Answer {
    const existing = this.get(kind, name)
    if (existing === undefined) return { status: 404 }
    if (revision !== null && Number(revision) !== existing.revision) return { status: 409, body: objectJson(existing) }
    this.remove(kind, name)
    return { status: 200, body: objectJson(existing) }
  }

  async #watch (kind: string, since: number, waitMs: number): Promise<Answer> {
    const events = (): readonly Change[] => this.#changes.filter(change => change.kind === kind && change.revision > since)
    if (events().length === 0 && since >= this.#compactedRevision && since <= this.#revision) await this.#waitForChange(waitMs, () => events().length > 0 || since < this.#compactedRevision || since > this.#revision)
    if (since < this.#compactedRevision || since > this.#revision) return { status: 410 }
    return { status: 200, body: { events: events().map(({ object, isDeleted }) => ({ Object: objectJson(object), Deleted: isDeleted })), AsOf: this.#revision } }
  }

  async #waitForChange (waitMs: number, isDone: () => boolean): Promise<void> {
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        this.#waiters.delete(wake)
        resolve()
      }
      const wake = (): void => { if (isDone()) finish() }
      const timer = setTimeout(finish, waitMs)
      this.#waiters.add(wake)
    })
  }
}

function objectJson (object: FleetObject): unknown {
  return { meta: { Name: object.name, Revision: object.revision, Created: object.created, Finalizers: [], Deleting: false }, spec: object.spec, status: null }
}

async function bodyOf (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  const text = Buffer.concat(chunks).toString('utf8')
  return text === '' ? undefined : JSON.parse(text)
}
