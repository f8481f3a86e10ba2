// Stand-in of one line-protocol server: sessions with variables, prepared
// statements and transactions on the log of its group.

import net from 'node:net'
import type { AddressInfo } from 'node:net'
import { readFrames } from './framing.js'
import { appliedText, hasApplied, receivedText, type Entry, type Group, type ServerNode } from './ledger.js'

/** A statement that a server executed, with the state of its session. */
export type ExecutedStatement = {
  readonly server: string
  readonly account: string
  readonly id: string
  readonly text: string
  readonly values: Readonly<Record<string, string>>
  /** Sequence number of the server connection. */
  readonly connection: number
  readonly inTransaction: boolean
}

/** Behaviour of a server that tests can change. */
export type ServerBehaviour = {
  readonly serviceMs: number
  /** Error codes for the next statements, which do not run. */
  readonly errors: readonly string[]
  /**
   * Number of further statements that run without a response; each closes its
   * connection instead.
   */
  readonly dropAnswers: number
}

type Session = {
  account: string // eslint-disable-line no-restricted-syntax -- the state of a stand-in changes
  values: Readonly<Record<string, string>> // eslint-disable-line no-restricted-syntax -- the state of a stand-in changes
  prepared: ReadonlyMap<string, string> // eslint-disable-line no-restricted-syntax -- the state of a stand-in changes
  transaction: { readonly access: 'read' | 'write', readonly term: number, readonly writes: readonly Write[], readonly failed: boolean } | undefined // eslint-disable-line no-restricted-syntax -- the state of a stand-in changes
}

type Write = Pick<Entry, 'item' | 'data' | 'id'>

/** The running server. */
export class LineServer {
  #runs: readonly ExecutedStatement[] = []
  readonly #group: Group
  readonly #node: ServerNode
  readonly #service: string
  readonly #sockets = new Set<net.Socket>()
  #behaviour: ServerBehaviour = { serviceMs: 1, errors: [], dropAnswers: 0 }
  #connections = 0
  #server: net.Server | undefined
  #port = 0

  /**
   * Creates a server; `start` makes it listen.
   * @param service - name of its group
   * @param group - its group
   * @param id - its id
   */
  constructor (service: string, group: Group, id: string) {
    this.#service = service
    this.#group = group
    this.#node = group.node(id)
  }

  get id (): string { return this.#node.id }
  get port (): number { return this.#port }
  get node (): ServerNode { return this.#node }

  /** Executed statements, in execution order. */
  get runs (): readonly ExecutedStatement[] { return this.#runs }

  /** Number of open connections. */
  get connections (): number { return this.#sockets.size }

  /** Starts to listen; after a crash, on the same port as before. */
  async start (): Promise<void> {
    this.#node.isUp = true
    const server = net.createServer({ noDelay: true }, socket => { this.#accept(socket) })
    this.#server = server
    await new Promise<void>(resolve => { server.listen(this.#port, '127.0.0.1', resolve) })
    this.#port = (server.address() as AddressInfo).port
  }

  /** Stops as in a crash: all connections close without a message. */
  async crash (): Promise<void> {
    this.#node.isUp = false
    for (const socket of this.#sockets) socket.destroy()
    await new Promise(resolve => { this.#server?.close(resolve) })
  }

  /**
   * Changes the behaviour of the server.
   * @param behaviour - the fields to change
   */
  setBehaviour (behaviour: Partial<ServerBehaviour>): void {
    this.#behaviour = { ...this.#behaviour, ...behaviour }
  }

  #accept (socket: net.Socket): void {
    this.#sockets.add(socket)
    this.#connections += 1
    const connection = this.#connections
    const session: Session = { account: '', values: {}, prepared: new Map(), transaction: undefined }
    let last: Promise<void> = Promise.resolve()
    socket.on('error', () => { socket.destroy() })
    socket.on('close', () => { this.#sockets.delete(socket) })
    readFrames(socket, text => {
      last = last.then(async () => { await this.#handleMessage(socket, session, connection, text) })
    })
  }

  async #handleMessage (socket: net.Socket, session: Session, connection: number, message: string): Promise<void> {
    const [word, first = '', ...rest] = message.split(' ')
    if (word === 'TERMINATE') return void socket.end()
    if (word === 'STARTUP') return this.#startSession(socket, session, first, rest)
    if (word !== 'QUERY') return void socket.destroy()
    const reply = await this.#query(session, connection, first, rest.join(' '))
    if (!socket.writable) return
    if (reply === 'lost') return void socket.destroy()
    socket.write(reply + this.#ready(session), 'latin1')
  }

  #startSession (socket: net.Socket, session: Session, service: string, [account = '', id]: readonly string[]): void {
    if (service !== this.#service || (id !== undefined && id !== this.#node.id)) {
      socket.end('ERROR MISROUTED another server\r\n')
      return
    }
    session.account = account
    socket.write(this.#ready(session))
  }

  #ready (session: Session): string {
    const state = session.transaction === undefined ? 'I' : session.transaction.failed ? 'E' : 'T'
    return `READY ${state} ${appliedText(this.#node)}\r\n`
  }

  async #query (session: Session, connection: number, id: string, query: string): Promise<string> {
    const after = /^AFTER (\S+) ([^]*)$/.exec(query)
    const text = after?.[2] ?? query
    const [verb = '', ...args] = text.split(' ')
    const control = this.#control(session, verb, args)
    if (control !== undefined) return control
    if (after !== null && !hasApplied(this.#node, after[1] ?? '')) return 'ERROR LAGGING behind\r\n'
    if (session.transaction?.failed === true && verb !== 'COMMIT' && verb !== 'ROLLBACK') return 'ERROR MALFORMED the transaction failed\r\n'
    return await this.#statement(session, connection, id, text, verb, args)
  }

  #control (session: Session, verb: string, args: readonly string[]): string | undefined {
    const node = this.#node
    switch (verb) {
      case 'STATUS': return this.#status()
      case 'PAUSE': {
        if (node.role === 'replica') node.pausedAt = Number(args[0])
        return this.#status()
      }
      case 'RESUME': {
        this.#group.resume(node)
        return this.#status()
      }
      case 'DEMOTE': {
        this.#group.demote(node, Number(args[0]))
        return this.#status()
      }
      case 'RESET': {
        session.values = {}
        session.prepared = new Map()
        return 'COMPLETE -\r\n'
      }
      case 'SET': {
        session.values = { ...session.values, [args[0] ?? '']: args.slice(1).join(' ') }
        return 'COMPLETE -\r\n'
      }
      case 'PREPARE': {
        session.prepared = new Map(session.prepared).set(args[0] ?? '', args.slice(1).join(' '))
        return 'COMPLETE -\r\n'
      }
      default: return undefined
    }
  }

  #status (): string {
    const { role, term, pausedAt } = this.#node
    return `ROW ${role} ${term} ${receivedText(this.#node)} ${pausedAt} 0 0 ${this.#sockets.size}\r\nCOMPLETE -\r\n`
  }

  async #statement (session: Session, connection: number, id: string, text: string, verb: string, args: readonly string[]): Promise<string> {
    const [error, ...errors] = this.#behaviour.errors
    if (error !== undefined && verb !== 'BEGIN' && verb !== 'ROLLBACK') {
      this.#behaviour = { ...this.#behaviour, errors }
      if (session.transaction !== undefined) session.transaction = { ...session.transaction, failed: true }
      return `ERROR ${error} injected by the test\r\n`
    }
    const definition = verb === 'EXECUTE' ? session.prepared.get(args[0] ?? '') : undefined
    if (verb === 'EXECUTE' && definition === undefined) return 'ERROR NOSTMT no such name\r\n'
    const isWrite = verb === 'WRITE' || definition?.startsWith('WRITE ') === true
    const inWriteTransaction = session.transaction?.access === 'write'
    if (this.#node.role === 'replica' && (isWrite || (verb === 'BEGIN' && args[0] !== 'READ') || inWriteTransaction)) return this.#rejectWrite(session)
    if (inWriteTransaction && session.transaction?.term !== this.#node.term) return this.#rejectWrite(session)
    const [item = '', ...data] = verb === 'EXECUTE' ? args.slice(1) : args
    if (verb === 'BEGIN') {
      session.transaction = { access: args[0] === 'READ' ? 'read' : 'write', term: this.#node.term, writes: [], failed: false }
      return 'COMPLETE -\r\n'
    }
    await new Promise(resolve => { setTimeout(resolve, this.#behaviour.serviceMs) })
    this.#runs = [...this.#runs, { server: this.id, account: session.account, id, text, values: session.values, connection, inTransaction: session.transaction !== undefined }]
    const reply = this.#execute(session, verb, { item, data: data.join(' '), id }, isWrite)
    if (this.#behaviour.dropAnswers === 0) return reply
    this.#behaviour = { ...this.#behaviour, dropAnswers: this.#behaviour.dropAnswers - 1 }
    return 'lost'
  }

  #rejectWrite (session: Session): string {
    if (session.transaction !== undefined) session.transaction = { ...session.transaction, failed: true }
    return `ERROR READONLY ${this.id}\r\n`
  }

  #execute (session: Session, verb: string, write: Write, isWrite: boolean): string {
    const { transaction } = session
    switch (verb) {
      case 'COMMIT': {
        session.transaction = undefined
        this.#group.commit(this.#node, transaction?.writes ?? [])
        return `COMPLETE ${this.#signature(write.id)}\r\n`
      }
      case 'ROLLBACK': {
        session.transaction = undefined
        return 'COMPLETE -\r\n'
      }
      default: break
    }
    if (isWrite && transaction !== undefined) session.transaction = { ...transaction, writes: [...transaction.writes, write] }
    else if (isWrite) this.#group.commit(this.#node, [write])
    const row = isWrite ? '' : `ROW ${this.#readItem(transaction?.writes ?? [], write.item)}\r\n`
    return `${row}COMPLETE ${this.#signature(write.id)}\r\n`
  }

  #readItem (writes: readonly Write[], item: string): string {
    const applied = this.#node.log.slice(0, this.#node.applied)
    return [...applied, ...writes].findLast(entry => entry.item === item)?.data ?? '-'
  }

  #signature (id: string): string {
    return `${this.id}.${id}`
  }
}
