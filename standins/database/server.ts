// A database server's decisions: one pure step over sessions and ledger.

import { callLedger, waitOverdue, wakeWaits } from './calls.js'
import { statementKind } from './dialect.js'
import { applyDue, fence, follow, mayCommit, newLedger, promote, receive, resumeAt, type Ledger } from './ledger.js'
import { lastPosition } from './log.js'
import type { Address } from '../../src/model/index.js'
import type { Reply } from '../../src/pipe/index.js'
import {
  andThen, answerWith, doneReply, errorReply, putSession,
  type Login, type LoginVerdict, type Next, type ServerMessage, type ServerSettings, type ServerState, type Session, type SqlReply, type Tuning, type Work
} from './server-state.js'
import {
  beginTransaction, commitTransaction, executed, idleTransaction, leaveSlotQueue, lockOverdue, loseWriters, releaseLock, rollbackTransaction, served, startStatement
} from './statements.js'

/** Statements and logins that are kept to be shown. */
const keptRecords = 1000
/** Attribute by which a replica says that it is one. */
export const replicaAttribute = 'ledger_replica'
/** Term and proposer of a group's first primary. */
const firstTerm = 1
const firstProposer = 'initial'

/** Where a server stands when its group starts. */
export type FirstRole =
  | { readonly kind: 'primary' }
  | { readonly kind: 'replica', readonly source: Address }
  | { readonly kind: 'alone' }

export function newServer (settings: ServerSettings, tuning: Tuning, first: FirstRole): ServerState {
  return {
    settings,
    tuning,
    ledger: firstLedger(newLedger(settings.server), first),
    sessions: new Map(),
    lock: { holder: undefined, waiting: [] },
    slots: { busy: 0, waiting: [] },
    waits: [],
    logins: [],
    statements: [],
    nextId: 1
  }
}

function firstLedger (ledger: Ledger, first: FirstRole): Ledger {
  switch (first.kind) {
    case 'alone': return ledger
    case 'replica': return follow(ledger, firstTerm, firstProposer, first.source).ledger
    case 'primary': return promote(fence(ledger, firstTerm, firstProposer).ledger, firstTerm, firstProposer).ledger
  }
}

export function stepServer (state: ServerState, message: ServerMessage): Next {
  const next = decide(state, message)
  return next.state.ledger === state.ledger ? next : andThen(next, after => ledgerChanged(state.ledger, after))
}

function decide (state: ServerState, message: ServerMessage): Next {
  switch (message.kind) {
    case 'open': return openSession(state, message)
    case 'close': return closeSession(state, message.session)
    case 'reset': return reset(state, message)
    case 'run': return run(state, message)
    case 'lockOverdue': return lockOverdue(state, message.session, message.work)
    case 'served': return served(state, message.session, message.work)
    case 'executed': return executed(state, message.session, message.work, message.result, message.inTransaction)
    case 'idle': return idleTransaction(state, message.session, message.lastWork)
    case 'waitOverdue': return waitOverdue(state, message.id)
    case 'shipped': return shipped(state, message)
    case 'applyDue': return applyEntries(state, message.nowMs)
  }
}

function openSession (state: ServerState, { login, reply }: ServerMessage & { readonly kind: 'open' }): Next {
  const counted = login.attributes[replicaAttribute] === undefined
  const verdict = verdictOn(state, login, counted)
  const record: Login = { ...login, accepted: verdict === 'accepted' }
  const recorded = { ...state, logins: [...state.logins.slice(1 - keptRecords), record] }
  const session: Session = {
    id: login.session, counted, transaction: { kind: 'none' }, position: state.ledger.applied, work: undefined, lastWork: 0
  }
  return { state: verdict === 'accepted' ? putSession(recorded, session) : recorded, effects: [{ kind: 'verdict', reply, verdict }] }
}

function verdictOn (state: ServerState, login: Login, counted: boolean): LoginVerdict {
  if (!login.accepted) return 'denied'
  const open = [...state.sessions.values()].filter(session => session.counted).length
  return counted && open >= state.settings.maxConnections ? 'tooMany' : 'accepted'
}

function closeSession (state: ServerState, id: number): Next {
  if (!state.sessions.has(id)) return { state, effects: [] }
  const sessions = new Map(state.sessions)
  sessions.delete(id)
  const closed: Next = { state: leaveSlotQueue({ ...state, sessions }, id), effects: [{ kind: 'forget', session: id }] }
  return andThen(closed, next => releaseLock(next, id))
}

function reset (state: ServerState, { session: id, reply }: ServerMessage & { readonly kind: 'reset' }): Next {
  const session = state.sessions.get(id)
  return session === undefined ? answerWith(state, reply, doneReply) : rollbackTransaction(state, session, reply)
}

function run (state: ServerState, { session: id, text, reply }: ServerMessage & { readonly kind: 'run' }): Next {
  const session = state.sessions.get(id)
  if (session === undefined) return answerWith(state, reply, errorReply(1105, 'The session is closed'))
  const kind = statementKind(text)
  if (kind.kind === 'call') return callLedger(state, session, kind.name, kind.args, reply)
  const noted = { ...state, nextId: state.nextId + 1, statements: [...state.statements.slice(1 - keptRecords), text] }
  const work = (of: Work['kind']): Work => ({ id: state.nextId, kind: of, text, reply })
  switch (kind.kind) {
    case 'set': return answerWith(noted, reply, doneReply)
    case 'kill': return killSession(noted, kind.session, reply)
    case 'refused': return answerWith(noted, reply, errorReply(1235, `${kind.word} is not supported`))
    case 'begin': return beginTransaction(noted, session, kind.readOnly, reply)
    case 'rollback': return rollbackTransaction(noted, session, reply)
    case 'commit': return commitTransaction(noted, session, work('commit'))
    case 'read':
    case 'write': return startStatement(noted, session, work(kind.kind))
  }
}

/** Ends a session at once, as its own connection would by closing; what it had open is rolled back before the answer. */
function killSession (state: ServerState, id: number, reply: Reply<SqlReply>): Next {
  if (!state.sessions.has(id)) return answerWith(state, reply, errorReply(1094, `Unknown thread id: ${id}`))
  const killed: Next = { state, effects: [{ kind: 'disconnect', session: id }] }
  return andThen(andThen(killed, next => closeSession(next, id)), next => answerWith(next, reply, doneReply))
}

/** A replica's pull brought something; the reply says where to go on, or nothing where the pull is out of date. */
function shipped (state: ServerState, { term, shipment, nowMs, reply }: ServerMessage & { readonly kind: 'shipped' }): Next {
  const role = state.ledger.role
  if (role.kind !== 'replica' || role.source === undefined || role.term !== term) {
    return { state, effects: [{ kind: 'resume', reply, after: undefined }] }
  }
  switch (shipment.kind) {
    case 'notPrimary': return { state, effects: [{ kind: 'resume', reply, after: lastPosition(state.ledger.log) }] }
    case 'retry': return { state, effects: [{ kind: 'resume', reply, after: resumeAt(state.ledger, shipment.at) }] }
    case 'entries': {
      const lagMs = state.tuning.lagMs
      const receipt = receive(state.ledger, term, shipment.entries, nowMs + lagMs)
      const resume = { kind: 'resume', reply, after: lastPosition(receipt.ledger.log) } as const
      const rebuild = receipt.rebuild === undefined ? [] : [{ kind: 'rebuild', entries: receipt.rebuild } as const]
      const later = shipment.entries.length === 0 ? [] : [{ kind: 'applyLater', delayMs: lagMs } as const]
      return { state: { ...state, ledger: receipt.ledger }, effects: [...rebuild, resume, ...later] }
    }
  }
}

function applyEntries (state: ServerState, nowMs: number): Next {
  const due = applyDue(state.ledger, nowMs)
  if (due.entries.length === 0) return { state, effects: [] }
  return { state: { ...state, ledger: due.ledger }, effects: [{ kind: 'apply', entries: due.entries }] }
}

/** What follows from a new ledger: writers that lose, replication that moves, waits that end. */
function ledgerChanged (before: Ledger, state: ServerState): Next {
  const after = state.ledger
  const moved = before.role !== after.role
  const lost = moved && mayCommit(before) ? loseWriters(state) : { state, effects: [] }
  const promoted = moved && after.role.kind === 'primary' && before.pending.length > 0
  const apply: Next['effects'] = promoted ? [{ kind: 'apply', entries: before.pending.map(each => each.entry) }] : []
  const effects = [...lost.effects, ...apply, ...(moved ? replicationOf(after) : [])]
  return andThen({ state: lost.state, effects }, wakeWaits)
}

/** How a server replicates in its role. */
export function replicationOf (ledger: Ledger): Next['effects'] {
  const role = ledger.role
  if (role.kind === 'primary' || role.source === undefined) return [{ kind: 'unfollow' }]
  return [{ kind: 'follow', term: role.term, source: role.source }]
}
