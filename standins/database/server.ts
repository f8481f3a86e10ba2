// Decisions of a database server: one pure step over sessions and ledger.

import { executeLedgerCall, waitTimedOut, completeWaits } from './calls.js'
import { statementKind } from './dialect.js'
import { applyDue, fence, follow, canCommit, newLedger, promote, receive, resumePosition, type Ledger } from './ledger.js'
import { lastPosition } from './log.js'
import type { Address } from '../../src/model/index.js'
import type { Reply } from '../../src/pipe/index.js'
import {
  andThen, replyWith, doneReply, errorReply, withSession,
  type Login, type LoginResult, type Next, type ServerMessage, type ServerSettings, type ServerState, type Session, type SqlReply, type Tuning, type Work
} from './server-state.js'
import {
  beginTransaction, commitTransaction, statementExecuted, closeIdleTransaction, removeFromSlotQueue, lockTimedOut, abortWriters, releaseLock, rollbackTransaction, serviceTimeElapsed, startStatement
} from './statements.js'

/** Maximum number of statements, and of logins, that are kept for the tests. */
const maxRecords = 1000
/** Connection attribute that marks a session as that of a replica. */
export const replicaAttribute = 'ledger_replica'
/** Term and proposer of the initial primary of a group. */
const initialTerm = 1
const initialProposer = 'initial'

/** Role of a server when its group starts. */
export type InitialRole =
  | { readonly kind: 'primary' }
  | { readonly kind: 'replica', readonly source: Address }
  | { readonly kind: 'standalone' }

export function initialServerState (settings: ServerSettings, tuning: Tuning, initialRole: InitialRole): ServerState {
  return {
    settings,
    tuning,
    ledger: initialLedger(newLedger(settings.server), initialRole),
    sessions: new Map(),
    lock: { holder: undefined, waiting: [] },
    slots: { busy: 0, waiting: [] },
    waits: [],
    logins: [],
    statements: [],
    nextId: 1
  }
}

function initialLedger (ledger: Ledger, initialRole: InitialRole): Ledger {
  switch (initialRole.kind) {
    case 'standalone': return ledger
    case 'replica': return follow(ledger, initialTerm, initialProposer, initialRole.source).ledger
    case 'primary': return promote(fence(ledger, initialTerm, initialProposer).ledger, initialTerm, initialProposer).ledger
  }
}

export function stepServer (state: ServerState, message: ServerMessage): Next {
  const next = decide(state, message)
  return next.state.ledger === state.ledger ? next : andThen(next, after => onLedgerChanged(state.ledger, after))
}

function decide (state: ServerState, message: ServerMessage): Next {
  switch (message.kind) {
    case 'open': return openSession(state, message)
    case 'close': return closeSession(state, message.session)
    case 'reset': return resetSession(state, message)
    case 'run': return runStatement(state, message)
    case 'lockTimedOut': return lockTimedOut(state, message.session, message.work)
    case 'serviceTimeElapsed': return serviceTimeElapsed(state, message.session, message.work)
    case 'executed': return statementExecuted(state, message.session, message.work, message.result, message.inTransaction)
    case 'idleTimeout': return closeIdleTransaction(state, message.session, message.lastWork)
    case 'waitTimedOut': return waitTimedOut(state, message.id)
    case 'shipmentReceived': return receiveShipment(state, message)
    case 'applyDue': return applyEntries(state, message.nowMs)
  }
}

function openSession (state: ServerState, { login, reply }: ServerMessage & { readonly kind: 'open' }): Next {
  const isCounted = login.attributes[replicaAttribute] === undefined
  const result = checkLogin(state, login, isCounted)
  const record: Login = { ...login, accepted: result === 'accepted' }
  const recorded = { ...state, logins: [...state.logins.slice(1 - maxRecords), record] }
  const session: Session = {
    id: login.session, isCounted, transaction: { kind: 'none' }, position: state.ledger.applied, work: undefined, lastWork: 0
  }
  return { state: result === 'accepted' ? withSession(recorded, session) : recorded, effects: [{ kind: 'loginResult', reply, result }] }
}

function checkLogin (state: ServerState, login: Login, isCounted: boolean): LoginResult {
  if (!login.accepted) return 'denied'
  const openCount = [...state.sessions.values()].filter(session => session.isCounted).length
  return isCounted && openCount >= state.settings.maxConnections ? 'tooMany' : 'accepted'
}

function closeSession (state: ServerState, id: number): Next {
  if (!state.sessions.has(id)) return { state, effects: [] }
  const sessions = new Map(state.sessions)
  sessions.delete(id)
  const closed: Next = { state: removeFromSlotQueue({ ...state, sessions }, id), effects: [{ kind: 'closeSession', session: id }] }
  return andThen(closed, next => releaseLock(next, id))
}

function resetSession (state: ServerState, { session: id, reply }: ServerMessage & { readonly kind: 'reset' }): Next {
  const session = state.sessions.get(id)
  return session === undefined ? replyWith(state, reply, doneReply) : rollbackTransaction(state, session, reply)
}

function runStatement (state: ServerState, { session: id, text, reply }: ServerMessage & { readonly kind: 'run' }): Next {
  const session = state.sessions.get(id)
  if (session === undefined) return replyWith(state, reply, errorReply(1105, 'The session is closed'))
  const kind = statementKind(text)
  if (kind.kind === 'call') return executeLedgerCall(state, session, kind.name, kind.args, reply)
  const recorded = { ...state, nextId: state.nextId + 1, statements: [...state.statements.slice(1 - maxRecords), text] }
  const newWork = (workKind: Work['kind']): Work => ({ id: state.nextId, kind: workKind, text, reply })
  switch (kind.kind) {
    case 'set': return replyWith(recorded, reply, doneReply)
    case 'kill': return killSession(recorded, kind.session, reply)
    case 'unsupported': return replyWith(recorded, reply, errorReply(1235, `${kind.word} is not supported`))
    case 'begin': return beginTransaction(recorded, session, kind.readOnly, reply)
    case 'rollback': return rollbackTransaction(recorded, session, reply)
    case 'commit': return commitTransaction(recorded, session, newWork('commit'))
    case 'read':
    case 'write': return startStatement(recorded, session, newWork(kind.kind))
  }
}

/**
 * Closes a session as if its client had disconnected; its open transaction is
 * rolled back before the reply.
 */
function killSession (state: ServerState, id: number, reply: Reply<SqlReply>): Next {
  if (!state.sessions.has(id)) return replyWith(state, reply, errorReply(1094, `Unknown thread id: ${id}`))
  const killed: Next = { state, effects: [{ kind: 'disconnect', session: id }] }
  return andThen(andThen(killed, next => closeSession(next, id)), next => replyWith(next, reply, doneReply))
}

/**
 * Handles a shipment of the replica's pull. The reply is the position to continue
 * from, or undefined if the pull belongs to an earlier role.
 */
function receiveShipment (state: ServerState, { term, shipment, nowMs, reply }: ServerMessage & { readonly kind: 'shipmentReceived' }): Next {
  const role = state.ledger.role
  if (role.kind !== 'replica' || role.source === undefined || role.term !== term) {
    return { state, effects: [{ kind: 'resumePull', reply, after: undefined }] }
  }
  switch (shipment.kind) {
    case 'notPrimary': return { state, effects: [{ kind: 'resumePull', reply, after: lastPosition(state.ledger.log) }] }
    case 'retry': return { state, effects: [{ kind: 'resumePull', reply, after: resumePosition(state.ledger, shipment.at) }] }
    case 'entries': {
      const lagMs = state.tuning.lagMs
      const result = receive(state.ledger, term, shipment.entries, nowMs + lagMs)
      const resume = { kind: 'resumePull', reply, after: lastPosition(result.ledger.log) } as const
      const rebuild = result.rebuild === undefined ? [] : [{ kind: 'rebuild', entries: result.rebuild } as const]
      const apply = shipment.entries.length === 0 ? [] : [{ kind: 'applyAfter', delayMs: lagMs } as const]
      return { state: { ...state, ledger: result.ledger }, effects: [...rebuild, resume, ...apply] }
    }
  }
}

function applyEntries (state: ServerState, nowMs: number): Next {
  const due = applyDue(state.ledger, nowMs)
  if (due.entries.length === 0) return { state, effects: [] }
  return { state: { ...state, ledger: due.ledger }, effects: [{ kind: 'apply', entries: due.entries }] }
}

/**
 * Effects of a changed ledger: writers are aborted, replication follows the
 * role, waits complete.
 */
function onLedgerChanged (before: Ledger, state: ServerState): Next {
  const after = state.ledger
  const roleChanged = before.role !== after.role
  const afterAbort = roleChanged && canCommit(before) ? abortWriters(state) : { state, effects: [] }
  const appliesPending = roleChanged && after.role.kind === 'primary' && before.pending.length > 0
  const apply: Next['effects'] = appliesPending ? [{ kind: 'apply', entries: before.pending.map(each => each.entry) }] : []
  const effects = [...afterAbort.effects, ...apply, ...(roleChanged ? replicationEffects(after) : [])]
  return andThen({ state: afterAbort.state, effects }, completeWaits)
}

/** Effects that start or stop replication according to the role. */
export function replicationEffects (ledger: Ledger): Next['effects'] {
  const role = ledger.role
  if (role.kind === 'primary' || role.source === undefined) return [{ kind: 'unfollow' }]
  return [{ kind: 'follow', term: role.term, source: role.source }]
}
