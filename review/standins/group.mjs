// Stand-in of one service: a primary and its replicas, which speak the line protocol
// of PROTOCOL.md. A line ends with CR LF. Each commit gets the next number; replicas
// receive and apply it later. A primary is replaced by `promote` only; the old one
// continues until DEMOTE or until a second after it can reach the new one. Statements
// that run are passed to `onRun`.

import net from 'node:net'
import { readMessages } from './lines.mjs'

export class Group {
  constructor ({ service, term = 3, receiveMs = 2, applyMs = 18, promoteMs = 300, workMs = 11, onRun = () => {} }) {
    Object.assign(this, { service, receiveMs, applyMs, promoteMs, workMs, onRun })
    this.firstTerm = term
    this.servers = []
  }

  /** Adds a server and makes it listen; the first one is the primary. */
  async add (id, zone, ip) {
    const server = new Server(this, id, zone, ip, this.servers.length === 0 ? 'primary' : 'replica')
    this.servers.push(server)
    await server.start()
    return server
  }

  server (id) {
    return this.servers.find(server => server.id === id)
  }

  /** The server that leads the highest term. */
  leader () {
    return this.servers.filter(server => server.role === 'primary').sort((a, b) => b.term - a.term)[0]
  }

  /** The platform's order; returns the status of the answer. */
  promote (id) {
    const target = this.server(id)
    if (target === undefined || !target.isUp) return 409
    if (target === this.leader()) return 200
    setTimeout(() => { this.#lead(target) }, this.promoteMs)
    return 200
  }

  stop () {
    for (const server of this.servers) server.stop()
  }

  #lead (target) {
    if (!target.isUp || target === this.leader()) return
    target.term = Math.max(...this.servers.map(server => server.term)) + 1
    target.role = 'primary'
    target.pausedTerm = 0
    target.applied = target.log.length
    this.spread()
    const replaced = () => {
      for (const server of this.servers) if (server !== this.leader() && server.isUp && server.role === 'primary') server.demote()
    }
    setTimeout(replaced, 1000)
  }

  /** The leader sends its log to all replicas that receive. */
  spread () {
    setTimeout(() => {
      const leader = this.leader()
      if (leader === undefined || !leader.isUp) return
      for (const replica of this.servers) if (replica !== leader) replica.receive(leader)
    }, this.receiveMs)
  }
}

class Server {
  #sockets = new Set()
  #listener
  #connections = 0

  constructor (group, id, zone, ip, role) {
    Object.assign(this, { group, id, zone, ip, role, port: 0, term: group.firstTerm, pausedTerm: 0, log: [], applied: 0, isUp: false, busy: 0 })
  }

  async start () {
    this.isUp = true
    this.#listener = net.createServer({ noDelay: true }, socket => { this.#accept(socket) })
    await new Promise(resolve => { this.#listener.listen(this.port, this.ip, resolve) })
    this.port = this.#listener.address().port
    if (this.group.leader() !== this && this.role === 'primary') this.demote()
    else this.group.spread()
  }

  /** Ends as in a crash. The log stays; a pause does not. */
  stop () {
    this.isUp = false
    this.pausedTerm = 0
    for (const socket of this.#sockets) socket.destroy()
    this.#listener.close()
  }

  demote () {
    this.role = 'replica'
    this.group.spread()
  }

  receive (leader) {
    if (!this.isUp || this.pausedTerm > 0 || this.role === 'primary') return
    const common = this.log.findIndex((entry, at) => entry !== leader.log[at])
    if (common >= 0) this.applied = Math.min(this.applied, common)
    this.term = leader.term
    this.log = [...leader.log]
    const { length } = this.log
    setTimeout(() => { if (this.log.length >= length) this.applied = Math.max(this.applied, length) }, this.group.applyMs)
  }

  positionOf (length) {
    return `${this.log[length - 1]?.term ?? this.group.firstTerm}.${length}`
  }

  #hasApplied (position) {
    const [term, number] = position.split('.').map(Number)
    const [appliedTerm, applied] = this.positionOf(this.applied).split('.').map(Number)
    return appliedTerm > term || (appliedTerm === term && applied >= number)
  }

  #accept (socket) {
    this.#sockets.add(socket)
    this.#connections += 1
    const session = { connection: this.#connections, tenant: '', values: {}, prepared: new Map(), transaction: undefined }
    let last = Promise.resolve()
    socket.on('error', () => { socket.destroy() })
    socket.on('close', () => { this.#sockets.delete(socket) })
    readMessages(socket, ({ word, rest }) => {
      last = last.then(async () => { await this.#receiveMessage(socket, session, word, rest) })
    })
  }

  async #receiveMessage (socket, session, word, rest) {
    if (!this.isUp || socket.destroyed) return
    if (word === 'STARTUP') {
      const [service, tenant = '', id] = rest.split(' ')
      if (service !== this.group.service || (id !== undefined && id !== this.id)) {
        socket.end('ERROR MISROUTED another server\r\n')
        return
      }
      session.tenant = tenant
      socket.write(this.#ready(session))
      return
    }
    if (word !== 'QUERY') {
      socket.end(word === 'TERMINATE' ? '' : 'ERROR MALFORMED unknown message\r\n')
      return
    }
    const space = rest.indexOf(' ')
    const reply = await this.#query(session, rest.slice(0, space), rest.slice(space + 1))
    if (this.isUp && socket.writable) socket.write(reply + this.#ready(session), 'latin1')
  }

  #ready ({ transaction }) {
    const state = transaction === undefined ? 'I' : transaction.failed ? 'E' : 'T'
    return `READY ${state} ${this.positionOf(this.applied)}\r\n`
  }

  async #query (session, id, query) {
    const after = /^AFTER (\S+) ([^]*)$/.exec(query)
    const text = after === null ? query : after[2]
    const [verb, ...args] = text.split(' ')
    switch (verb) {
      case 'STATUS': return this.#status()
      case 'PAUSE': {
        if (this.role === 'replica' && Number(args[0]) > this.term) this.pausedTerm = Number(args[0])
        return this.#status()
      }
      case 'RESUME': {
        this.pausedTerm = 0
        this.group.spread()
        return this.#status()
      }
      case 'DEMOTE': {
        if (this.role === 'primary' && this.term < Number(args[0])) this.demote()
        return this.#status()
      }
      case 'RESET': {
        session.values = {}
        session.prepared.clear()
        return 'COMPLETE -\r\n'
      }
      case 'SET': {
        session.values = { ...session.values, [args[0]]: args.slice(1).join(' ') }
        return 'COMPLETE -\r\n'
      }
      case 'PREPARE': {
        session.prepared.set(args[0], args.slice(1).join(' '))
        return 'COMPLETE -\r\n'
      }
      case 'DEALLOCATE': {
        session.prepared.delete(args[0])
        return 'COMPLETE -\r\n'
      }
      default: break
    }
    if (session.transaction?.failed === true && verb !== 'COMMIT' && verb !== 'ROLLBACK') return 'ERROR MALFORMED the transaction failed\r\n'
    if (after !== null && !this.#hasApplied(after[1])) return 'ERROR LAGGING behind\r\n'
    return await this.#statement(session, id, text, verb, args)
  }

  #status () {
    const { role, term, pausedTerm, busy } = this
    return `ROW ${role} ${term} ${this.positionOf(this.log.length)} ${pausedTerm} 0 ${busy} ${this.#sockets.size}\r\nCOMPLETE -\r\n`
  }

  async #statement (session, id, text, verb, args) {
    if (verb === 'ROLLBACK') {
      session.transaction = undefined
      return 'COMPLETE -\r\n'
    }
    if (verb === 'BEGIN') {
      const access = args[0] === 'READ' ? 'read' : 'write'
      if (access === 'write' && this.role === 'replica') return `ERROR READONLY ${this.id}\r\n`
      session.transaction = { access, term: this.term, writes: [], failed: false }
      return 'COMPLETE -\r\n'
    }
    this.busy += 1
    await new Promise(resolve => { setTimeout(resolve, this.group.workMs) })
    this.busy -= 1
    const definition = verb === 'EXECUTE' ? session.prepared.get(args[0]) : undefined
    if (verb === 'EXECUTE' && definition === undefined) return 'ERROR NOSTMT no such name\r\n'
    const isWrite = verb === 'WRITE' || definition?.startsWith('WRITE ') === true
    const { transaction } = session
    const hasLostLead = this.role === 'replica' || (transaction !== undefined && transaction.term !== this.term)
    const needsLead = isWrite || (transaction?.access === 'write' && !(verb === 'COMMIT' && transaction.writes.length === 0))
    if (needsLead && hasLostLead) {
      if (transaction !== undefined) transaction.failed = true
      return `ERROR READONLY ${this.id}\r\n`
    }
    if (!this.isUp) return ''
    this.group.onRun({ server: this.id, term: this.term, tenant: session.tenant, id, text, values: session.values, connection: session.connection, inTransaction: transaction !== undefined })
    if (verb === 'COMMIT') {
      session.transaction = undefined
      if (transaction?.failed === true) return 'ERROR ABORTED rolled back\r\n'
      if (transaction !== undefined) this.#commit(transaction.writes)
      return `COMPLETE ${signatureOf(this.id, id)}\r\n`
    }
    const [item, ...data] = verb === 'EXECUTE' ? args.slice(1) : args
    if (!isWrite) {
      const entries = [...this.log.slice(0, this.applied), ...(transaction?.writes ?? [])]
      return `ROW ${entries.findLast(entry => entry.item === item)?.data ?? ''}\r\nCOMPLETE ${signatureOf(this.id, id)}\r\n`
    }
    const write = { item, data: data.join(' '), id }
    if (transaction === undefined) this.#commit([write])
    else transaction.writes.push(write)
    return `COMPLETE ${signatureOf(this.id, id)}\r\n`
  }

  // One number for all writes of a commit.
  #commit (writes) {
    if (writes.length === 0) return
    for (const write of writes) this.log = [...this.log, { ...write, term: this.term }]
    this.applied = this.log.length
    if (this === this.group.leader()) this.group.spread()
  }
}

export function signatureOf (server, id) {
  return `${server}.${id}`
}
