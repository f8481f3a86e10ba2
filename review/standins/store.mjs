// Stand-in of the platform's metadata store: objects with revisions, conditional
// updates, listings and watches over HTTP/1.1, as PROTOCOL.md describes them. It
// keeps everything in memory. `put` and `remove` are for the operator and the
// servers of a case, which write without HTTP.

import http from 'node:http'

const json = { 'content-type': 'application/json' }

export class Store {
  #objects = new Map()
  #changes = []
  #revision = 100
  #waiters = new Set()
  #server = http.createServer((request, response) => { this.#serve(request, response).catch(() => { response.destroy() }) })

  /** Listens and returns the address. */
  async start (ip) {
    this.#server.keepAliveTimeout = 120_000
    await new Promise(resolve => { this.#server.listen(0, ip, resolve) })
    return { ip, port: this.#server.address().port }
  }

  stop () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  get (kind, name) {
    return this.#objects.get(`${kind}/${name}`)
  }

  put (kind, name, spec) {
    const key = `${kind}/${name}`
    const before = this.#objects.get(key)
    if (before !== undefined && JSON.stringify(before.spec) === JSON.stringify(spec)) return before
    this.#revision += 1
    const object = { kind, meta: { Name: name, Revision: this.#revision, Created: before?.meta.Created ?? this.#revision, Finalizers: [], Deleting: false }, spec, status: null }
    this.#objects.set(key, object)
    this.#change({ kind, revision: this.#revision, event: { Deleted: false, Object: view(object) } })
    return object
  }

  remove (kind, name) {
    const key = `${kind}/${name}`
    const before = this.#objects.get(key)
    if (before === undefined) return
    this.#objects.delete(key)
    this.#revision += 1
    this.#change({ kind, revision: this.#revision, event: { Deleted: true, Object: view(before) } })
  }

  #change (change) {
    this.#changes.push(change)
    for (const wake of [...this.#waiters]) wake()
  }

  async #serve (request, response) {
    const body = await readJson(request)
    const url = new URL(request.url, 'http://store')
    const [, root, kind = '', name] = url.pathname.split('/').map(decodeURIComponent)
    const answer = root === 'objects' ? await this.#answer(request.method, kind, name, url.searchParams, body) : { status: 404 }
    response.writeHead(answer.status, json).end(JSON.stringify(answer.body ?? {}))
  }

  async #answer (method, kind, name, query, body) {
    const existing = name === undefined ? undefined : this.get(kind, name)
    switch (method) {
      case 'GET': {
        if (query.has('Watch')) return await this.#watch(kind, Number(query.get('Watch')), Number(query.get('WaitMs') ?? 0))
        if (name !== undefined) return existing === undefined ? { status: 404 } : { status: 200, body: view(existing) }
        const items = [...this.#objects.values()].filter(object => object.kind === kind).map(view)
        return { status: 200, body: { items, More: false, AsOf: this.#revision } }
      }
      case 'POST': {
        const other = this.get(kind, body.meta.Name)
        if (other !== undefined) return { status: 409, body: view(other) }
        return { status: 201, body: view(this.put(kind, body.meta.Name, body.spec)) }
      }
      case 'PUT': {
        if (existing === undefined) return { status: 404 }
        if (body.meta?.Revision !== undefined && body.meta.Revision !== existing.meta.Revision) return { status: 409, body: view(existing) }
        return { status: 200, body: view(this.put(kind, name, body.spec)) }
      }
      case 'DELETE': {
        if (existing === undefined) return { status: 404 }
        const revision = query.get('Revision')
        if (revision !== null && Number(revision) !== existing.meta.Revision) return { status: 409, body: view(existing) }
        this.remove(kind, name)
        return { status: 200, body: view(existing) }
      }
      default: return { status: 405 }
    }
  }

  async #watch (kind, since, waitMs) {
    const events = () => this.#changes.filter(change => change.kind === kind && change.revision > since)
    if (events().length === 0) {
      await new Promise(resolve => {
        const end = () => {
          clearTimeout(timer)
          this.#waiters.delete(wake)
          resolve()
        }
        const wake = () => { if (events().length > 0) end() }
        const timer = setTimeout(end, waitMs)
        this.#waiters.add(wake)
      })
    }
    return { status: 200, body: { events: events().map(change => change.event), AsOf: this.#revision } }
  }
}

function view ({ meta, spec, status }) {
  return { meta, spec, status }
}

/** Reads the JSON body of a request; undefined for an empty one. */
export async function readJson (request) {
  const parts = []
  for await (const part of request) parts.push(part)
  const text = Buffer.concat(parts).toString('utf8')
  return text === '' ? undefined : JSON.parse(text)
}
