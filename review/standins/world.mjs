// A small deployment for the scripts: hosts are processes of the deployed program,
// started as the deploy file says, with settings made from its template; the store,
// the promotion service, the servers and the clients are stand-ins of this folder.
// All addresses are loopback addresses, one for each machine.

import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Session } from './client.mjs'
import { Group } from './group.mjs'
import { Link } from './link.mjs'
import { readJson, Store } from './store.mjs'

export const root = join(dirname(fileURLToPath(import.meta.url)), '../..')
export const sleep = async ms => { await new Promise(resolve => { setTimeout(resolve, ms) }) }
export const trouble = process.env.TROUBLE !== '0'
export const exitCode = { held: 0, broken: 1, notRun: 2 }

/** Network of this run, so that several cases can run at the same time. */
const net127 = `127.${20 + Math.floor(Math.random() * 200)}`
const zones = ['medina', 'plateau', 'hlm']
const service = 'huvo11a'
const metricsPort = 9464
/** Figures of a small deployment. */
const bounds = { GraceS: 6 }
const limits = { CpuShare: 0.459, Cores: 1 }
const maxConns = 76
const slots = 5
const heartbeatMs = 1200
/** Time from the start of the machines to the start of traffic. */
const leadMs = 12_000
const maxStartMs = 20_000
const maxCaseMs = 115_000

export const routes = { order: 'lepu270', lookup: 'xapu221', notes: 'fiti832' }
/** Keys of the tenants. */
export const keys = ['u6wsjnbanfqasnmgkcuy', 'j8pjbvk9m68k7b2ex5wa', 'w3kqz0vtn5c8y2hs6dxe', 'b9fru4m1lj7pa0gzo6iv']

export class World {
  #startedAtMs = performance.now()
  #timers = new Set()
  #peerLinks = []

  constructor (folder) {
    this.hosts = []
    this.orders = []
    this.runs = []
    this.counts = {}
    this.record = createWriteStream(join(folder, 'record.txt'))
  }

  nowMs () {
    return Math.round(performance.now() - this.#startedAtMs)
  }

  note (what, fields = {}) {
    this.counts[what] = (this.counts[what] ?? 0) + 1
    this.record.write(`${JSON.stringify({ atMs: this.nowMs(), what, ...fields })}\n`)
  }

  /**
   * Starts the platform, the servers and the hosts, and waits until all hosts are
   * ready. With `canCutOff` the connections between hosts pass through links, too.
   * A host whose process ends is started again after `restartMs`, where that is set.
   */
  async start ({ hosts = 3, group = {}, txIdleMs = 3000, canCutOff = false, restartMs } = {}) {
    this.restartMs = restartMs
    this.folder = mkdtempSync(join(tmpdir(), 'limpetmoor-review-'))
    this.store = new Store()
    this.storeAddress = await this.store.start(`${net127}.20.1`)
    this.group = new Group({ service, onRun: run => { this.runs.push(run); this.note('run', run) }, ...group })
    await this.#startPromotions()
    this.store.put('config', 'main', configuration(txIdleMs))
    for (const [at, zone] of zones.entries()) await this.group.add(`i-${'abc'[at]}7f3a91c${at}`, zone, `${net127}.30.${at + 1}`)
    this.#beat()
    const ports = await freePorts(hosts)
    if (canCutOff) await this.#linkPeers(hosts, ports)
    await Promise.all(Array.from({ length: hosts }, async (_, at) => { await this.#startHost(at, ports) }))
    const untilMs = this.nowMs() + maxStartMs
    while (!(await this.#allReady())) {
      if (this.nowMs() > untilMs) throw new Error('the hosts were not ready in time')
      await sleep(100)
    }
    await sleep(Math.max(0, leadMs - this.nowMs()))
    this.note('ready')
  }

  /** The host that holds the lease, by the record in the store. */
  leader () {
    const lease = this.store.get('duties', 'promotion')?.spec
    return lease === undefined || lease.released ? undefined : this.hosts.find(host => host.name === lease.holder)
  }

  /** Opens a session of a tenant at a host. */
  async open (host, route, tenant = 0) {
    return await Session.open(host.callers, route, keys[tenant])
  }

  /** Links of a host to and from the platform and the other hosts. */
  linksOf (host) {
    const peers = this.#peerLinks.filter(({ from, to }) => from === host.ip || to === host.ip).map(({ link }) => link)
    return [host.links.store, host.links.promotions, ...peers]
  }

  async until (what, isDone, maxMs) {
    const untilMs = this.nowMs() + maxMs
    while (!isDone()) {
      if (this.nowMs() > untilMs) throw new Error(`not in time: ${what}`)
      await sleep(10)
    }
  }

  async stop () {
    this.isStopping = true
    for (const timer of this.#timers) clearInterval(timer)
    await Promise.all(this.hosts.map(async ({ child, ended }) => {
      if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
      await ended
    }))
    for (const host of this.hosts) for (const link of Object.values(host.links)) link.stop()
    for (const { link } of this.#peerLinks) link.stop()
    this.group?.stop()
    this.store?.stop()
    this.promotions?.closeAllConnections()
    this.promotions?.close()
    if (this.folder !== undefined) rmSync(this.folder, { recursive: true, force: true })
    await new Promise(resolve => { this.record.end(resolve) })
  }

  async #startPromotions () {
    this.promotions = http.createServer((request, response) => {
      readJson(request).then(({ Id: server }) => {
        const order = { server, holder: request.headers['limpetmoor-duty-holder'], token: Number(request.headers['limpetmoor-fencing-token']) }
        const status = this.group.promote(server)
        this.orders.push({ ...order, atMs: this.nowMs(), status })
        this.note('promotion', { ...order, status })
        response.writeHead(status, { 'content-type': 'application/json' }).end('{}')
      }).catch(() => { response.destroy() })
    })
    this.promotions.keepAliveTimeout = 120_000
    await new Promise(resolve => { this.promotions.listen(0, `${net127}.20.2`, resolve) })
    this.promotionsAddress = { ip: `${net127}.20.2`, port: this.promotions.address().port }
  }

  // The servers report themselves; one that is down reports nothing, and its entry is
  // removed after three intervals.
  #beat () {
    const lastBeatMs = new Map()
    const seq = new Map()
    const beat = () => {
      for (const server of this.group.servers) {
        if (server.isUp) {
          lastBeatMs.set(server, this.nowMs())
          // Only a change of more than Seq changes the entry.
          const spec = { Service: service, Addr: `${server.ip}:${server.port}`, Zone: server.zone, Version: 'v1', Slots: slots, State: 'ready', ColdLeftMs: 0, DbRole: server.role }
          const before = this.store.get('servers', server.id)?.spec
          const { Seq: _, ...rest } = before ?? {}
          if (JSON.stringify(rest) === JSON.stringify(spec)) continue
          seq.set(server, (seq.get(server) ?? 0) + 1)
          this.store.put('servers', server.id, { ...spec, Seq: seq.get(server) })
        } else if (this.nowMs() - (lastBeatMs.get(server) ?? 0) > 3 * heartbeatMs) this.store.remove('servers', server.id)
      }
    }
    beat()
    this.#timers.add(setInterval(beat, heartbeatMs / 4))
  }

  async #linkPeers (hosts, ports) {
    const ips = Array.from({ length: hosts }, (_, at) => hostIp(at))
    for (const from of ips) {
      for (const to of ips.filter(ip => ip !== from)) {
        const link = new Link({ ip: to, port: ports.peers })
        this.#peerLinks.push({ from, to, link, address: await link.start(`${net127}.42.1`) })
      }
    }
  }

  async #startHost (at, ports) {
    const zone = zones[at % zones.length]
    const name = `frontend-${zone}-${Math.floor(at / zones.length) + 1}`
    const ip = hostIp(at)
    const links = { store: new Link(this.storeAddress), promotions: new Link(this.promotionsAddress) }
    const store = await links.store.start(`${net127}.40.${at + 1}`)
    const promotions = await links.promotions.start(`${net127}.41.${at + 1}`)
    const { role, template } = deployFile()
    const settings = render(template, {
      NodeName: name,
      Zone: zone,
      Ip: ip,
      PortRange: [ports.peers],
      Limits: limits,
      Listen: { Frontend: `${ip}:${ports.callers}`, Readiness: `${ip}:${ports.readiness}` },
      platform: { Addr: `${store.ip}:${store.port}` },
      Cloud: { Addr: `${promotions.ip}:${promotions.port}` },
      Bounds: bounds
    })
    const file = join(this.folder, `${name}.toml`)
    const redirected = this.#peerLinks.filter(({ from }) => from === ip).map(({ to, address }) => `"${to}:${ports.peers}" = "${address.ip}:${address.port}"\n`)
    writeFileSync(file, redirected.length === 0 ? settings : `${settings}\n[links]\n${redirected.join('')}`)
    const host = { name, zone, ip, links, file, run: role.run, callers: { ip, port: ports.callers }, readiness: { ip, port: ports.readiness }, ends: 0 }
    this.hosts.push(host)
    this.#spawn(host)
  }

  // The log of a host is shown where SHOW_LOGS is set.
  #spawn (host) {
    const [program, ...words] = host.run.split(' ')
    const child = spawn(program, words, { cwd: root, env: { PATH: process.env.PATH, HOME: this.folder, LIMPETMOOR_CONFIG: host.file }, stdio: ['ignore', 'pipe', 'pipe'] })
    for (const stream of [child.stdout, child.stderr]) stream.on('data', text => { if (process.env.SHOW_LOGS !== undefined) process.stderr.write(text) })
    host.child = child
    host.ended = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        this.note('hostEnded', { name: host.name, code, signal })
        host.ends += 1
        if (this.restartMs !== undefined && !this.isStopping) setTimeout(() => { if (!this.isStopping) this.#spawn(host) }, this.restartMs)
        resolve()
      })
    })
  }

  async #allReady () {
    const ready = await Promise.all(this.hosts.map(async ({ readiness }) => await isReady(readiness)))
    return ready.every(each => each) && this.leader() !== undefined
  }
}

/** Runs a case: its function returns the violations that it found. */
export async function runCase (folder, play) {
  const world = new World(folder)
  let code = exitCode.notRun
  // However this process ends, the hosts end, too.
  process.on('exit', () => { for (const { child } of world.hosts) child?.kill('SIGKILL') })
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => { process.exit(exitCode.notRun) })
  process.on('uncaughtException', error => {
    process.stdout.write(`the case could not run: ${error.stack}\n`)
    process.exit(exitCode.notRun)
  })
  setTimeout(() => {
    process.stdout.write('the case took too long\n')
    process.exit(exitCode.notRun)
  }, maxCaseMs)
  try {
    const violations = await play(world)
    for (const violation of violations) world.note('VIOLATION', violation)
    code = violations.length > 0 ? exitCode.broken : exitCode.held
    process.stdout.write(`${violations.length} violations${violations.length > 0 ? `, the first: ${JSON.stringify(violations[0])}` : ''}\n`)
  } catch (error) {
    world.note('notRun', { error: String(error) })
    process.stdout.write(`the case could not run: ${error?.stack ?? error}\n`)
  }
  world.note('end', { code, counts: { ...world.counts } })
  await world.stop().catch(error => { process.stdout.write(`${error}\n`) })
  process.exit(code)
}

function hostIp (at) {
  return `${net127}.10.${at + 1}`
}

// Reads `run` and `template` of the one role.
function deployFile () {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8')
  const value = name => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)[1]
  return { role: { run: value('run') }, template: readFileSync(join(root, value('template')), 'utf8') }
}

// Fills in {{a}}, {{a.b}}, {{a.0}} and {{a|json}}.
function render (template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = path.split('.').reduce((outer, name) => outer?.[name], fields)
    return json === undefined ? String(value ?? '') : JSON.stringify(value ?? null)
  })
}

function configuration (txIdleMs) {
  const route = { PathPrefix: '/', Service: service, MaxAttempts: 2, Public: false }
  return {
    Version: 7,
    Routes: [
      { ...route, Name: 'r-1', Host: routes.lookup, Kind: 'bounded_staleness', TimeoutMs: 3000, LatencyGoalMs: 800, Priority: 2, MaxStalenessMs: 1500 },
      { ...route, Name: 'r-2', Host: routes.order, Kind: 'primary', TimeoutMs: 1000, LatencyGoalMs: 200, Priority: 1 },
      { ...route, Name: 'r-3', Host: routes.notes, Kind: 'read_your_writes', TimeoutMs: 1000, LatencyGoalMs: 400, Priority: 2, MaxStalenessMs: 2500 }
    ],
    Services: [{ Name: service, HealthPath: '/health', MaxConns: maxConns, Protocol: 'h1', Tls: false, SyncReplicas: 0 }],
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000, TxIdleMs: txIdleMs },
    Tenants: keys.map((key, at) => ({ Name: `nypu92${at}`, ApiKeys: [key], Priority: 1, RatePerS: 95, Burst: 95 }))
  }
}

// Three ports that are free on the addresses of all hosts, as is that of the metrics.
async function freePorts (hosts) {
  const ips = Array.from({ length: hosts }, (_, at) => hostIp(at))
  for (const ip of ips) if (!(await isFree(ip, metricsPort))) throw new Error(`${ip}:${metricsPort} is in use`)
  const found = []
  while (found.length < 3) {
    const port = 20_000 + Math.floor(Math.random() * 10_000)
    const free = await Promise.all(ips.map(async ip => await isFree(ip, port)))
    if (free.every(each => each) && !found.includes(port)) found.push(port)
  }
  const [callers, readiness, peers] = found
  return { callers, readiness, peers }
}

async function isFree (ip, port) {
  return await new Promise(resolve => {
    const server = net.createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, ip, () => { server.close(() => { resolve(true) }) })
  })
}

async function isReady ({ ip, port }) {
  return await new Promise(resolve => {
    const request = http.get({ host: ip, port, path: '/ready', timeout: 500, agent: false }, response => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    request.on('error', () => { resolve(false) })
    request.on('timeout', () => { request.destroy() })
  })
}
