// Stand-in of a database server: the MySQL protocol, SQL run by SQLite, and a
// ledger log that replicas pull. One task owns the sessions, the ledger and the
// data.

import type { Address } from '../src/model/index.js'
import { startTask, systemTimers, type Port, type TimerService } from '../src/pipe/index.js'
import { startFrontEnd, type MysqlFrontEnd } from './database/mysql-front.js'
import { startPull, type Credentials, type PullSettings } from './database/replication.js'
import { initialServerState, replicationEffects, stepServer, type InitialRole } from './database/server.js'
import type { ServerEffect, ServerMessage, ServerSettings, ServerState, Tuning } from './database/server-state.js'
import { SqlStorage } from './database/storage.js'
import type { RunningStandin } from './platform.js'

/** Maximum number of messages in the mailbox of the server's task. */
const mailboxCapacity = 100_000
/** A timer may fire slightly early; with the margin its entries are due by then. */
const timerMarginMs = 1

export type DatabaseSettings = {
  readonly listen: Address
  readonly credentials: Credentials
  readonly server: ServerSettings
  readonly tuning: Tuning
  readonly initialRole: InitialRole
  /** Addresses to connect to in place of those of other servers, by `IP:PORT`. */
  readonly linkAddresses: ReadonlyMap<string, Address>
}

type Pull = {
  readonly term: number
  readonly source: Address
  readonly stop: () => void
}

/**
 * Starts the stand-in of a database server.
 * @param settings - listen address, role and behaviour
 * @returns the running stand-in
 */
export async function startDatabase (settings: DatabaseSettings): Promise<RunningStandin> {
  const timers = systemTimers()
  const storage = new SqlStorage(settings.server.server)
  const initial = initialServerState(settings.server, settings.tuning, settings.initialRole)
  let tuning = settings.tuning
  let pull: Pull | undefined
  const restartPull = (effect: ServerEffect & { readonly kind: 'follow' }, self: Port<ServerMessage>): void => {
    const same = pull?.term === effect.term && addressKey(pull.source) === addressKey(effect.source)
    if (same) return
    pull?.stop()
    pull = { term: effect.term, source: effect.source, stop: startPull(pullSettings(settings, effect.term, effect.source), timers, self) }
  }
  const perform = (effect: ServerEffect, self: Port<ServerMessage>): void => {
    switch (effect.kind) {
      case 'follow': return restartPull(effect, self)
      case 'unfollow':
        pull?.stop()
        pull = undefined
        return
      case 'disconnect': return frontEnd.disconnect(effect.session)
      case 'reply': return effect.reply(effect.answer)
      case 'loginResult': return effect.reply(effect.result)
      case 'resumePull': return effect.reply(effect.after)
      case 'sendAfter':
      case 'applyAfter': return performDelayed(effect, self, timers)
      case 'execute':
      case 'commit':
      case 'rollback':
      case 'closeSession':
      case 'apply':
      case 'rebuild': return performSql(effect, self, storage)
    }
  }
  const task = startTask<ServerState, ServerMessage, ServerEffect>({
    name: settings.server.server,
    initial,
    step: (state, message) => {
      const next = stepServer(state, message)
      tuning = next.state.tuning
      return next
    },
    perform,
    capacity: mailboxCapacity,
    onError: error => { console.error(error) }
  })
  for (const effect of replicationEffects(initial.ledger)) perform(effect, task.port)
  const frontEnd: MysqlFrontEnd = await startFrontEnd({ listen: settings.listen, credentials: settings.credentials, connectDelayMs: () => tuning.connectDelayMs }, timers, task.port)
  return {
    address: frontEnd.address,
    stop: async () => {
      pull?.stop()
      await frontEnd.stop()
      timers.stop()
      await task.stop()
      storage.close()
    }
  }
}

type SqlEffect = ServerEffect & { readonly kind: 'execute' | 'commit' | 'rollback' | 'closeSession' | 'apply' | 'rebuild' }

function performSql (effect: SqlEffect, self: Port<ServerMessage>, storage: SqlStorage): void {
  switch (effect.kind) {
    case 'commit': return storage.commit(effect.session)
    case 'rollback': return storage.rollback(effect.session)
    case 'closeSession': return storage.closeSession(effect.session)
    case 'apply': return storage.apply(effect.entries)
    case 'rebuild': return storage.rebuild(effect.entries)
    case 'execute': {
      const result = storage.execute(effect.session, effect.text, effect.begin, effect.ownConnection)
      self.send({ kind: 'executed', session: effect.session, work: effect.work, result, inTransaction: storage.inTransaction(effect.session) })
    }
  }
}

function performDelayed (effect: ServerEffect & { readonly kind: 'sendAfter' | 'applyAfter' }, self: Port<ServerMessage>, timers: TimerService): void {
  switch (effect.kind) {
    case 'sendAfter': {
      const message = effect.message
      timers.after(effect.delayMs, { send: () => self.send(message) })
      return
    }
    case 'applyAfter':
      timers.after(effect.delayMs + timerMarginMs, { send: tick => self.send({ kind: 'applyDue', nowMs: tick.nowMs }) })
  }
}

function pullSettings (settings: DatabaseSettings, term: number, source: Address): PullSettings {
  const address = settings.linkAddresses.get(addressKey(source)) ?? source
  return { server: settings.server.server, term, source: address, credentials: settings.credentials }
}

export function addressKey (address: Address): string {
  return `${address.ip}:${address.port}`
}
