// Execution of a statement: slot, service time, execution, reply. One session
// writes at a time: a transaction acquires the write lock with its first
// statement, a write outside transactions after its service time. A session that
// waits for the lock holds no slot, so that the transaction that holds the lock
// can always continue and end.

import type { Position } from '../../src/model/index.js'
import type { Reply } from '../../src/pipe/index.js'
import { requestedServiceMs } from './dialect.js'
import { appendCommitted, canCommit } from './ledger.js'
import {
  andThen, replyWith, doneReply, errorReply, withSession, readOnlyReply,
  type BeginMode, type Next, type ServerState, type Session, type SessionTransaction, type SqlReply, type Work
} from './server-state.js'

const noTransaction: SessionTransaction = { kind: 'none' }

export function beginTransaction (state: ServerState, session: Session, readOnly: boolean, reply: Reply<SqlReply>): Next {
  if (session.transaction.kind === 'open') return replyWith(state, reply, errorReply(1568, 'A transaction is already open'))
  return replyWith(withSession(state, { ...session, transaction: { kind: 'begun', readOnly } }), reply, doneReply)
}

export function rollbackTransaction (state: ServerState, session: Session, reply: Reply<SqlReply>): Next {
  const ended = withSession(state, { ...session, transaction: noTransaction })
  if (session.transaction.kind !== 'open') return replyWith(ended, reply, doneReply)
  const rolledBack: Next = { state: ended, effects: [{ kind: 'rollback', session: session.id }, { kind: 'reply', reply, answer: doneReply }] }
  return andThen(rolledBack, after => releaseLock(after, session.id))
}

export function commitTransaction (state: ServerState, session: Session, work: Work): Next {
  const transaction = session.transaction
  switch (transaction.kind) {
    case 'none':
    case 'begun': return replyWith(withSession(state, { ...session, transaction: noTransaction }), work.reply, doneReply)
    case 'rolledBack': return replyWith(withSession(state, { ...session, transaction: noTransaction }), work.reply, readOnlyReply())
    case 'open': return acquireSlot(withSession(state, { ...session, work, lastWork: work.id }), session.id)
  }
}

export function startStatement (state: ServerState, session: Session, work: Work): Next {
  const rejection = rejectionOf(state, session, work)
  if (rejection !== undefined) return replyWith(state, work.reply, rejection)
  const withWork = withSession(state, { ...session, work, lastWork: work.id })
  return needsLock(state, session) ? acquireLock(withWork, session.id, work.id) : acquireSlot(withWork, session.id)
}

function rejectionOf (state: ServerState, session: Session, work: Work): SqlReply | undefined {
  const transaction = session.transaction
  if (transaction.kind === 'rolledBack') return readOnlyReply()
  if (work.kind !== 'write') return undefined
  if (!canCommit(state.ledger)) return readOnlyReply()
  const readOnly = (transaction.kind === 'begun' && transaction.readOnly) || (transaction.kind === 'open' && transaction.mode === 'read')
  return readOnly ? errorReply(1792, 'Cannot execute statement in a READ ONLY transaction') : undefined
}

/**
 * A transaction on a primary acquires the lock with its first statement, so that
 * no later statement fails for lack of it.
 */
function needsLock (state: ServerState, session: Session): boolean {
  const begins = session.transaction.kind === 'begun' && !session.transaction.readOnly
  return begins && canCommit(state.ledger)
}

function acquireLock (state: ServerState, session: number, work: number): Next {
  if (state.lock.holder === undefined) return lockGranted({ ...state, lock: { ...state.lock, holder: session } }, session)
  return {
    state: { ...state, lock: { ...state.lock, waiting: [...state.lock.waiting, session] } },
    effects: [{ kind: 'sendAfter', delayMs: state.settings.lockWaitMs, message: { kind: 'lockTimedOut', session, work } }]
  }
}

export function releaseLock (state: ServerState, session: number): Next {
  const waiting = state.lock.waiting.filter(each => each !== session)
  if (state.lock.holder !== session) return { state: { ...state, lock: { ...state.lock, waiting } }, effects: [] }
  const holder = waiting[0]
  const next: ServerState = { ...state, lock: { holder, waiting: waiting.slice(1) } }
  return holder === undefined ? { state: next, effects: [] } : lockGranted(next, holder)
}

/**
 * A write outside a transaction has spent its service time before it acquires
 * the lock, and runs at once.
 */
function lockGranted (state: ServerState, session: number): Next {
  const found = state.sessions.get(session)
  if (found?.work === undefined) return releaseLock(state, session)
  return found.transaction.kind === 'none' ? executeStatement(state, found, found.work) : acquireSlot(state, session)
}

export function lockTimedOut (state: ServerState, session: number, work: number): Next {
  const found = state.sessions.get(session)
  if (found?.work?.id !== work || !state.lock.waiting.includes(session)) return { state, effects: [] }
  const waiting = state.lock.waiting.filter(each => each !== session)
  return finish({ ...state, lock: { ...state.lock, waiting } }, found, errorReply(1205, 'Lock wait timeout exceeded; try restarting transaction'))
}

function acquireSlot (state: ServerState, session: number): Next {
  if (state.slots.busy >= state.settings.slots) {
    return { state: { ...state, slots: { ...state.slots, waiting: [...state.slots.waiting, session] } }, effects: [] }
  }
  return startServiceTime({ ...state, slots: { ...state.slots, busy: state.slots.busy + 1 } }, session)
}

function startServiceTime (state: ServerState, session: number): Next {
  const work = state.sessions.get(session)?.work
  const delayMs = requestedServiceMs(work?.text ?? '') ?? state.tuning.serviceMs
  return { state, effects: [{ kind: 'sendAfter', delayMs, message: { kind: 'serviceTimeElapsed', session, work: work?.id ?? 0 } }] }
}

function releaseSlot (state: ServerState): Next {
  const next = state.slots.waiting[0]
  if (next === undefined) return { state: { ...state, slots: { busy: state.slots.busy - 1, waiting: [] } }, effects: [] }
  return startServiceTime({ ...state, slots: { ...state.slots, waiting: state.slots.waiting.slice(1) } }, next)
}

export function removeFromSlotQueue (state: ServerState, session: number): ServerState {
  return { ...state, slots: { ...state.slots, waiting: state.slots.waiting.filter(each => each !== session) } }
}

/** Runs a statement after its service time, under the rules that hold by then. */
export function serviceTimeElapsed (state: ServerState, session: number, work: number): Next {
  return andThen(releaseSlot(state), released => {
    const found = released.sessions.get(session)
    if (found?.work === undefined || found.work.id !== work) return { state: released, effects: [] }
    if (found.work.kind === 'commit') return executeCommit(released, found)
    const isAutocommit = found.transaction.kind === 'none' && found.work.kind === 'write'
    return isAutocommit ? acquireLock(released, session, work) : executeStatement(released, found, found.work)
  })
}

function executeStatement (state: ServerState, session: Session, work: Work): Next {
  const rejection = rejectionOf(state, session, work)
  if (rejection !== undefined) return finish(state, session, rejection)
  const holdsLock = state.lock.holder === session.id
  const transaction = session.transaction
  const beginMode = beginModeOf(transaction, work, holdsLock)
  const applied = state.ledger.applied
  const opened: SessionTransaction = transaction.kind === 'begun'
    ? { kind: 'open', mode: holdsLock ? 'write' : 'read', snapshot: applied, writes: [] }
    : transaction
  const position = opened.kind === 'open' ? opened.snapshot : applied
  return {
    state: withSession(state, { ...session, transaction: opened, position }),
    effects: [{ kind: 'execute', session: session.id, work: work.id, text: work.text, begin: beginMode, ownConnection: beginMode !== 'none' || opened.kind === 'open' }]
  }
}

function beginModeOf (transaction: SessionTransaction, work: Work, holdsLock: boolean): BeginMode {
  switch (transaction.kind) {
    case 'none': return work.kind === 'write' ? 'write' : 'none'
    case 'begun': return holdsLock ? 'write' : 'read'
    case 'open':
    case 'rolledBack': return 'none'
  }
}

export function statementExecuted (state: ServerState, session: number, work: number, result: SqlReply, inTransaction: boolean): Next {
  const found = state.sessions.get(session)
  if (found?.work === undefined || found.work.id !== work) return { state, effects: [] }
  const transaction = found.transaction
  switch (transaction.kind) {
    case 'begun':
    case 'none': return found.work.kind === 'write' ? finishAutocommit(state, found, found.work, result) : finish(state, found, result)
    case 'rolledBack': return finish(state, found, readOnlyReply())
    case 'open': {
      if (!inTransaction) return finish(state, { ...found, transaction: { kind: 'rolledBack' } }, result)
      const wrote = found.work.kind === 'write' && result.kind !== 'error'
      const writes = wrote ? [...transaction.writes, found.work.text] : transaction.writes
      const idleTimeout = { kind: 'sendAfter', delayMs: state.settings.idleTransactionMs, message: { kind: 'idleTimeout', session, lastWork: work } } as const
      const answered = replyWith(withSession(state, { ...found, work: undefined, transaction: { ...transaction, writes } }), found.work.reply, result)
      return transaction.mode === 'write' ? { ...answered, effects: [...answered.effects, idleTimeout] } : answered
    }
  }
}

function finishAutocommit (state: ServerState, session: Session, work: Work, result: SqlReply): Next {
  const allowed = state.lock.holder === session.id && canCommit(state.ledger)
  if (result.kind === 'error') return rollbackAndFinish(state, session, result)
  return allowed ? commitAndFinish(state, session, [work.text], result) : rollbackAndFinish(state, session, readOnlyReply())
}

function executeCommit (state: ServerState, session: Session): Next {
  const transaction = session.transaction
  switch (transaction.kind) {
    case 'none':
    case 'begun':
    case 'rolledBack': return finish(state, { ...session, transaction: noTransaction }, readOnlyReply())
    case 'open': {
      const ended = { ...session, transaction: noTransaction }
      if (transaction.writes.length === 0) {
        return andThen({ state, effects: [{ kind: 'commit', session: session.id }] }, next => finish(next, ended, doneReply))
      }
      const allowed = state.lock.holder === session.id && canCommit(state.ledger)
      return allowed ? commitAndFinish(state, ended, transaction.writes, doneReply) : rollbackAndFinish(state, ended, readOnlyReply())
    }
  }
}

function commitAndFinish (state: ServerState, session: Session, writes: readonly string[], answer: SqlReply): Next {
  const ledger = appendCommitted(state.ledger, writes)
  const position: Position = ledger.applied
  const committed: Next = { state: { ...state, ledger }, effects: [{ kind: 'commit', session: session.id }] }
  return andThen(committed, next => finish(next, { ...session, position }, answer))
}

function rollbackAndFinish (state: ServerState, session: Session, answer: SqlReply): Next {
  return andThen({ state, effects: [{ kind: 'rollback', session: session.id }] }, next => finish(next, session, answer))
}

/**
 * Replies to the statement of a session; only an open transaction keeps the
 * lock.
 */
function finish (state: ServerState, session: Session, answer: SqlReply): Next {
  const reply = session.work?.reply
  const idle = withSession(state, { ...session, work: undefined })
  const answered: Next = reply === undefined ? { state: idle, effects: [] } : replyWith(idle, reply, answer)
  return session.transaction.kind === 'open' ? answered : andThen(answered, next => releaseLock(next, session.id))
}

/** Disconnects a session whose write transaction has been idle for too long. */
export function closeIdleTransaction (state: ServerState, session: number, lastWork: number): Next {
  const found = state.sessions.get(session)
  const isIdle = found?.lastWork === lastWork && found.work === undefined && found.transaction.kind === 'open'
  return { state, effects: isIdle ? [{ kind: 'disconnect', session }] : [] }
}

/**
 * Called when the server may no longer commit: rolls back open writes and
 * rejects queued ones.
 */
export function abortWriters (state: ServerState): Next {
  const unlocked: ServerState = { ...state, lock: { holder: undefined, waiting: [] } }
  const rejected = state.lock.waiting.reduce<Next>((next, id) => andThen(next, each => {
    const session = each.sessions.get(id)
    return session === undefined ? { state: each, effects: [] } : finish(each, session, readOnlyReply())
  }), { state: unlocked, effects: [] })
  const holder = state.lock.holder
  if (holder === undefined) return rejected
  return andThen(rejected, next => {
    const session = next.sessions.get(holder)
    const isOpen = session?.transaction.kind === 'open'
    const aborted = session !== undefined && isOpen ? withSession(next, { ...session, transaction: { kind: 'rolledBack' } }) : next
    return { state: aborted, effects: [{ kind: 'rollback', session: holder }] }
  })
}
