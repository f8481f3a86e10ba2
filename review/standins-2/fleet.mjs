// A small deployment on loopback addresses: the store, a group of servers and the
// promotion endpoint are the project's own stand-ins and run in this process; the
// proxies are processes of their own, started with the command of deploy/system.toml
// and with settings made from deploy/settings.toml.

import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { createInterface } from 'node:readline'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { parse } from 'smol-toml'
import { Group } from '../../target/review-2/standins/fleet/ledger.js'
import { LineServer } from '../../target/review-2/standins/fleet/server.js'
import { FleetStore } from '../../target/review-2/standins/fleet/store.js'
import { HeldLink } from './held-link.mjs'

export const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
export const zones = ['medina', 'plateau', 'hlm']
export const services = ['huvo11a', 'kafi81c', 'wuno96b']
export const key = 'u6wsjnbanfqasnmgkcuy'
export const heartbeatMs = 1200
const slots = 5
const startTimeoutMs = 20_000

/** The bounds and limits of sites/ndiaye-reliure.toml. */
export const bounds = { DrainMs: 7000, GraceS: 6 }
const limits = { CpuShare: 0.459, Cores: 1, MemoryMb: 272, MaxFds: 2118 }

/** Whether the script runs with the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Collects what was sent, answered and run, with the time since the start. */
export class Record {
  #lines = []
  #startMs = performance.now()

  add (text) {
    this.#lines.push(`${((performance.now() - this.#startMs) / 1000).toFixed(3)} ${text}`)
  }

  write (file) {
    writeFileSync(file, this.#lines.join('\n') + '\n')
  }
}

/** Fills in a template of the platform (DEPLOY.md): values, and sections that are present. */
function filledTemplate (template, fields) {
  const valueOf = path => path.split('.').reduce((value, name) => value?.[name], fields)
  const sections = template.replace(/\{\{#([\w.]+)\}\}\n?([^]*?)\{\{\/\1\}\}\n?/g, (_, path, body) => valueOf(path) === undefined ? '' : body)
  return sections.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => json === undefined ? String(valueOf(path) ?? '') : JSON.stringify(valueOf(path)))
}

async function isFree (ip, port) {
  const server = net.createServer()
  const free = await new Promise(resolve => {
    server.once('error', () => { resolve(false) })
    server.listen(port, ip, () => { resolve(true) })
  })
  if (free) await new Promise(resolve => { server.close(resolve) })
  return free
}

// Each host has a loopback address of its own, as the metrics port is fixed.
async function freeHostAddress (ports) {
  for (;;) {
    const part = () => 1 + Math.floor(Math.random() * 253)
    const ip = `127.${part()}.${part()}.${part()}`
    const free = await Promise.all([...ports, 9464].map(async port => await isFree(ip, port)))
    if (free.every(each => each)) return ip
  }
}

/** Writes the entries of servers as the servers do, and removes them after three missed heartbeats. */
class Registry {
  #store
  #entries = new Map()
  #timers = new Set()

  constructor (store) {
    this.#store = store
    this.#timers.add(setInterval(() => { this.#expire() }, 50))
  }

  /** Starts the heartbeats of a server. */
  begin (server, zone, fields = {}) {
    const entry = { server, zone, fields, seq: 0, beatAtMs: performance.now(), isBeating: true, timer: undefined }
    const beat = () => {
      if (!entry.isBeating) return
      entry.beatAtMs = performance.now()
      entry.seq += 1
      this.#store.put('servers', server.id, this.#spec(entry))
    }
    entry.timer = setInterval(beat, heartbeatMs)
    this.#timers.add(entry.timer)
    this.#entries.set(server.id, entry)
    beat()
    entry.beat = beat
    return entry
  }

  entryOf (server) {
    return this.#entries.get(server.id)
  }

  /** Changes fields of a server's entry; a change is reported at once. */
  change (server, fields) {
    const entry = this.#entries.get(server.id)
    entry.fields = { ...entry.fields, ...fields }
    entry.beat()
  }

  /** The server sends nothing more, as after a crash. */
  end (server) {
    const entry = this.#entries.get(server.id)
    entry.isBeating = false
    clearInterval(entry.timer)
  }

  stop () {
    for (const timer of this.#timers) clearInterval(timer)
  }

  // Only what changes with the server is written, so that an unchanged entry makes no event.
  #spec ({ server, zone, fields }) {
    return { Service: server.service, Addr: `127.0.0.1:${server.port}`, Zone: zone, Version: 'v1', Slots: slots, State: 'ready', ColdLeftMs: 0, DbRole: server.node.role, Seq: 1, ...fields }
  }

  #expire () {
    for (const [id, entry] of this.#entries) {
      if (entry.isBeating || performance.now() - entry.beatAtMs < 3 * heartbeatMs) continue
      this.#entries.delete(id)
      this.#store.remove('servers', id)
    }
  }
}

/** Time for which the promotion endpoint keeps an idle connection open. */
const keepAliveMs = 75_000

async function startPromoter (groups, orders) {
  const startMs = performance.now()
  const server = http.createServer({ keepAliveTimeout: keepAliveMs }, (request, response) => {
    let text = ''
    request.on('data', chunk => { text += String(chunk) })
    request.on('end', () => {
      const { Service: name, Id: id } = JSON.parse(text)
      const accepted = groups[services.indexOf(name)].promote(id)
      orders.push({ atS: (performance.now() - startMs) / 1000, id, holder: request.headers['limpetmoor-duty-holder'], token: Number(request.headers['limpetmoor-fencing-token']), accepted })
      response.writeHead(accepted ? 200 : 409).end('{}')
    })
  })
  await new Promise(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return server
}

/**
 * The configuration of the operator, with the routes and limits of
 * sites/ndiaye-reliure.toml; `changes` replaces top-level fields. The routes of the
 * second and the third service have its number as a suffix.
 */
export function configuration (version, { serviceCount = 1, ...changes } = {}) {
  const used = services.slice(0, serviceCount)
  return {
    Version: version,
    Routes: used.flatMap((service, at) => {
      const suffix = at === 0 ? '' : String(at + 1)
      const route = { PathPrefix: '/', Service: service, MaxAttempts: 2, Public: false }
      return [
        { ...route, Name: `r-1${suffix}`, Host: `orders${suffix}`, Kind: 'primary', TimeoutMs: 1000, LatencyGoalMs: 200, Priority: 1 },
        { ...route, Name: `r-2${suffix}`, Host: `lookup${suffix}`, Kind: 'bounded_staleness', TimeoutMs: 3000, LatencyGoalMs: 800, Priority: 2, MaxStalenessMs: 1500 },
        { ...route, Name: `r-3${suffix}`, Host: `notes${suffix}`, Kind: 'read_your_writes', TimeoutMs: 1000, LatencyGoalMs: 400, Priority: 2, MaxStalenessMs: 2500 }
      ]
    }),
    Services: used.map(name => ({ Name: name, HealthPath: '/health', MaxConns: 76, Protocol: 'h1', Tls: false, SyncReplicas: 0 })),
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000, TxIdleMs: 3000 },
    Tenants: [{ Name: 'nypu920', ApiKeys: [key], Priority: 1, RatePerS: 95, Burst: 95 }],
    ...changes
  }
}

const serverIds = [
  ['i-7f3a91c2', 'i-51d09b7e', 'i-c2e8405a'],
  ['i-08be4f13', 'i-92c7a5d0', 'i-e41b6037'],
  ['i-3d905ac8', 'i-b6f21e74', 'i-1a7c8d95']
]

/**
 * Starts a deployment. Each service has one group of three servers, one in each zone;
 * the first is the primary.
 * @param options - number of hosts and services, the configuration, and whether each
 *   host reaches the platform over links of its own, which can be cut
 */
export async function startDeployment ({ hosts = 3, serviceCount = 1, hasLinks = false, config = configuration(7, { serviceCount }) } = {}) {
  const folder = mkdtempSync(join(tmpdir(), 'limpetmoor-review-'))
  const store = new FleetStore()
  const storePort = await store.start()
  const groups = serverIds.slice(0, serviceCount).map(ids => new Group(ids, { receiveMs: 2, applyMs: 20, promoteMs: 300 }))
  const servers = groups.flatMap((group, at) => serverIds[at].map(id => Object.assign(new LineServer(services[at], group, id), { service: services[at], zone: zones[serverIds[at].indexOf(id)] })))
  for (const server of servers) await server.start()
  const orders = []
  const promoter = await startPromoter(groups, orders)
  const registry = new Registry(store)
  for (const server of servers) registry.begin(server, server.zone)
  store.put('config', 'main', config)
  const ports = { frontend: 20_000 + Math.floor(Math.random() * 20_000), readiness: 0, peer: 0 }
  ports.readiness = ports.frontend + 1
  ports.peer = ports.frontend + 2
  const { roles } = parse(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))
  const [, ...words] = roles.proxy.run.split(' ')
  const template = readFileSync(join(root, 'deploy/settings.toml'), 'utf8')
  const proxies = []
  const allLinks = []
  const linksOf = async () => {
    if (!hasLinks) return { links: [], ports: [storePort, promoter.address().port] }
    const links = [new HeldLink(storePort), new HeldLink(promoter.address().port)]
    allLinks.push(...links)
    return { links, ports: [await links[0].start(), await links[1].start()] }
  }
  const start = async ({ name, zone, ip, file, links }) => {
    const child = spawn(process.execPath, words, { cwd: root, env: { PATH: process.env.PATH, LIMPETMOOR_CONFIG: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    const lines = []
    for (const stream of [child.stdout, child.stderr]) createInterface(stream).on('line', line => { lines.push(line) })
    const proxy = { name, zone, ip, file, links, port: ports.frontend, readinessPort: ports.readiness, child, lines }
    const untilMs = performance.now() + startTimeoutMs
    while (!lines.some(line => line.startsWith('listening '))) {
      if (child.exitCode !== null || performance.now() > untilMs) throw new Error(`${name} did not start: ${lines.slice(-5).join(' | ')}`)
      await delay(20)
    }
    return proxy
  }
  for (let at = 0; at < hosts; at += 1) {
    const zone = zones[at % zones.length]
    const name = `frontend-${zone}-${1 + Math.floor(at / zones.length)}`
    const ip = await freeHostAddress(Object.values(ports))
    const file = join(folder, `${name}.toml`)
    const { links, ports: [storeLinkPort, promoterPort] } = await linksOf()
    const fields = {
      NodeName: name,
      Zone: zone,
      Ip: ip,
      PortRange: [ports.peer],
      Listen: { Frontend: `${ip}:${ports.frontend}`, Readiness: `${ip}:${ports.readiness}` },
      Limits: limits,
      Bounds: bounds,
      platform: { Addr: `127.0.0.1:${storeLinkPort}` },
      Cloud: { Addr: `127.0.0.1:${promoterPort}` }
    }
    writeFileSync(file, filledTemplate(template, fields))
    proxies.push(await start({ name, zone, ip, file, links }))
  }
  return {
    store,
    group: groups[0],
    groups,
    servers,
    registry,
    orders,
    proxies,
    restart: async proxy => {
      const at = proxies.indexOf(proxy)
      proxies[at] = await start(proxy)
      return proxies[at]
    },
    async stop () {
      registry.stop()
      for (const link of allLinks) link.stop()
      for (const { child } of proxies) await endProcess(child)
      for (const server of servers) await server.crash().catch(() => {})
      for (const group of groups) group.stop()
      promoter.closeAllConnections()
      promoter.close()
      await store.stop()
      rmSync(folder, { recursive: true, force: true })
    }
  }
}

async function endProcess (child) {
  if (child.exitCode !== null || child.signalCode !== null) return
  const exited = once(child, 'exit')
  child.kill('SIGKILL')
  await exited
}

/** Waits until a host is ready by its probe, and has served a write. */
export async function untilServing (proxy, timeoutMs = 20_000) {
  const untilMs = performance.now() + timeoutMs
  while (performance.now() < untilMs) {
    if (await isReady(proxy) && await servesWrite(proxy)) return
    await delay(100)
  }
  throw new Error(`${proxy.name} does not serve: ${proxy.lines.slice(-5).join(' | ')}`)
}

async function isReady ({ ip, readinessPort }) {
  return await new Promise(resolve => {
    http.get({ host: ip, port: readinessPort, path: '/ready', timeout: 500 }, response => {
      response.resume()
      resolve(response.statusCode === 200)
    }).on('error', () => { resolve(false) })
  })
}

async function servesWrite (proxy) {
  const caller = await openSession(proxy, 'orders').catch(() => undefined)
  const answer = await caller?.query('WRITE warm up').catch(() => undefined)
  caller?.disconnect()
  return answer?.signature !== undefined
}

/**
 * Opens a session of a client. The project's stand-in of a client connects to
 * 127.0.0.1 only, so this one connects to the address of the host.
 */
export async function openSession (proxy, database, apiKey = key) {
  return await Client.open(proxy, database, apiKey)
}

let clients = 0

/** A client of the line protocol. */
export class Client {
  #socket
  #buffer = ''
  #rows = []
  #answer = {}
  #pending
  #nextId = 1
  #name = `c${++clients}`
  isClosed = false

  static async open (proxy, database, apiKey) {
    const client = new Client(net.connect({ host: proxy.ip, port: proxy.port, noDelay: true }))
    const answer = await client.#send(`STARTUP ${database} ${apiKey}\r\n`)
    if (answer.code !== undefined) throw new Error(answer.code)
    return client
  }

  constructor (socket) {
    this.#socket = socket
    socket.setEncoding('latin1')
    socket.on('error', () => { socket.destroy() })
    socket.on('data', text => { this.#receive(text) })
    socket.on('close', () => {
      this.isClosed = true
      this.#finish({ ...this.#answer, code: this.#answer.code ?? 'CLOSED', state: 'closed' })
    })
  }

  /** Sends a query and waits for READY; a closed connection gives the code CLOSED. */
  async query (text, id = `${this.#name}x${this.#nextId++}`) {
    return { id, ...await this.#send(`QUERY ${id} ${text}\r\n`) }
  }

  disconnect () {
    this.#socket.destroy()
  }

  async #send (text) {
    if (this.isClosed) return { rows: [], code: 'CLOSED', state: 'closed' }
    return await new Promise(resolve => {
      this.#rows = []
      this.#answer = {}
      this.#pending = resolve
      this.#socket.write(text, 'latin1')
    })
  }

  #receive (text) {
    this.#buffer += text
    for (let end = this.#buffer.indexOf('\r\n'); end >= 0; end = this.#buffer.indexOf('\r\n')) {
      const line = this.#buffer.slice(0, end)
      this.#buffer = this.#buffer.slice(end + 2)
      const [word, first, ...rest] = line.split(' ')
      if (word === 'ROW') this.#rows.push([first, ...rest].join(' '))
      if (word === 'COMPLETE') this.#answer.signature = first
      if (word === 'ERROR') this.#answer = { code: first, detail: rest.join(' ') }
      if (word === 'READY') this.#finish({ ...this.#answer, state: first })
    }
  }

  #finish (answer) {
    const resolve = this.#pending
    this.#pending = undefined
    resolve?.({ rows: this.#rows, ...answer })
  }
}

export { delay }

/**
 * Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * @param folder - folder of the case, for record.txt
 * @param run - returns true if the rule held; gets the record
 */
export async function runCase (folder, run) {
  const record = new Record()
  let status = 2
  try {
    status = await run(record) ? 0 : 1
  } catch (error) {
    record.add(`could not run: ${String(error.stack)}`)
  }
  record.add(`exit ${status}`)
  record.write(join(folder, 'record.txt'))
  process.exit(status)
}
