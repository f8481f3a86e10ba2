// The way of a statement through a server: slot, service time, execution,
// answer. One session writes at a time; a transaction takes the write lock with
// its first statement, a write outside transactions after its service time. A
// session that waits for the lock holds no slot, so a transaction can always go
// on and end.

import type { Position } from '../../src/model/index.js'
import type { Reply } from '../../src/pipe/index.js'
import { askedServiceMs } from './dialect.js'
import { appendCommitted, mayCommit } from './ledger.js'
import {
  andThen, answerWith, doneReply, errorReply, putSession, readOnlyReply,
  type Beginning, type Next, type ServerState, type Session, type SessionTransaction, type SqlReply, type Work
} from './server-state.js'

const noTransaction: SessionTransaction = { kind: 'none' }

export function beginTransaction (state: ServerState, session: Session, readOnly: boolean, reply: Reply<SqlReply>): Next {
  if (session.transaction.kind === 'open') return answerWith(state, reply, errorReply(1568, 'A transaction is open already'))
  return answerWith(putSession(state, { ...session, transaction: { kind: 'begun', readOnly } }), reply, doneReply)
}

export function rollbackTransaction (state: ServerState, session: Session, reply: Reply<SqlReply>): Next {
  const ended = putSession(state, { ...session, transaction: noTransaction })
  if (session.transaction.kind !== 'open') return answerWith(ended, reply, doneReply)
  const rolledBack: Next = { state: ended, effects: [{ kind: 'rollback', session: session.id }, { kind: 'reply', reply, answer: doneReply }] }
  return andThen(rolledBack, after => releaseLock(after, session.id))
}

export function commitTransaction (state: ServerState, session: Session, work: Work): Next {
  const transaction = session.transaction
  switch (transaction.kind) {
    case 'none':
    case 'begun': return answerWith(putSession(state, { ...session, transaction: noTransaction }), work.reply, doneReply)
    case 'lost': return answerWith(putSession(state, { ...session, transaction: noTransaction }), work.reply, readOnlyReply())
    case 'open': return takeSlot(putSession(state, { ...session, work, lastWork: work.id }), session.id)
  }
}

export function startStatement (state: ServerState, session: Session, work: Work): Next {
  const refusal = refusalOf(state, session, work)
  if (refusal !== undefined) return answerWith(state, work.reply, refusal)
  const waiting = putSession(state, { ...session, work, lastWork: work.id })
  return needsLock(state, session) ? takeLock(waiting, session.id, work.id) : takeSlot(waiting, session.id)
}

function refusalOf (state: ServerState, session: Session, work: Work): SqlReply | undefined {
  const transaction = session.transaction
  if (transaction.kind === 'lost') return readOnlyReply()
  if (work.kind !== 'write') return undefined
  if (!mayCommit(state.ledger)) return readOnlyReply()
  const readOnly = (transaction.kind === 'begun' && transaction.readOnly) || (transaction.kind === 'open' && transaction.mode === 'read')
  return readOnly ? errorReply(1792, 'Cannot execute statement in a READ ONLY transaction') : undefined
}

/** A transaction on a primary takes the lock with its first statement, so that it never fails for a later one. */
function needsLock (state: ServerState, session: Session): boolean {
  const begins = session.transaction.kind === 'begun' && !session.transaction.readOnly
  return begins && mayCommit(state.ledger)
}

function takeLock (state: ServerState, session: number, work: number): Next {
  if (state.lock.holder === undefined) return lockGranted({ ...state, lock: { ...state.lock, holder: session } }, session)
  return {
    state: { ...state, lock: { ...state.lock, waiting: [...state.lock.waiting, session] } },
    effects: [{ kind: 'later', delayMs: state.settings.lockWaitMs, message: { kind: 'lockOverdue', session, work } }]
  }
}

export function releaseLock (state: ServerState, session: number): Next {
  const waiting = state.lock.waiting.filter(each => each !== session)
  if (state.lock.holder !== session) return { state: { ...state, lock: { ...state.lock, waiting } }, effects: [] }
  const holder = waiting[0]
  const passed: ServerState = { ...state, lock: { holder, waiting: waiting.slice(1) } }
  return holder === undefined ? { state: passed, effects: [] } : lockGranted(passed, holder)
}

/** A write outside a transaction has had its service time before it took the lock and runs at once. */
function lockGranted (state: ServerState, session: number): Next {
  const found = state.sessions.get(session)
  if (found?.work === undefined) return releaseLock(state, session)
  return found.transaction.kind === 'none' ? executeStatement(state, found, found.work) : takeSlot(state, session)
}

export function lockOverdue (state: ServerState, session: number, work: number): Next {
  const found = state.sessions.get(session)
  if (found?.work?.id !== work || !state.lock.waiting.includes(session)) return { state, effects: [] }
  const waiting = state.lock.waiting.filter(each => each !== session)
  return finish({ ...state, lock: { ...state.lock, waiting } }, found, errorReply(1205, 'Lock wait timeout exceeded; try restarting transaction'))
}

function takeSlot (state: ServerState, session: number): Next {
  if (state.slots.busy >= state.settings.slots) {
    return { state: { ...state, slots: { ...state.slots, waiting: [...state.slots.waiting, session] } }, effects: [] }
  }
  return serve({ ...state, slots: { ...state.slots, busy: state.slots.busy + 1 } }, session)
}

function serve (state: ServerState, session: number): Next {
  const work = state.sessions.get(session)?.work
  const delayMs = askedServiceMs(work?.text ?? '') ?? state.tuning.serviceMs
  return { state, effects: [{ kind: 'later', delayMs, message: { kind: 'served', session, work: work?.id ?? 0 } }] }
}

function releaseSlot (state: ServerState): Next {
  const next = state.slots.waiting[0]
  if (next === undefined) return { state: { ...state, slots: { busy: state.slots.busy - 1, waiting: [] } }, effects: [] }
  return serve({ ...state, slots: { ...state.slots, waiting: state.slots.waiting.slice(1) } }, next)
}

export function leaveSlotQueue (state: ServerState, session: number): ServerState {
  return { ...state, slots: { ...state.slots, waiting: state.slots.waiting.filter(each => each !== session) } }
}

/** The service time is over: the statement runs now, under the rules as they are now. */
export function served (state: ServerState, session: number, work: number): Next {
  return andThen(releaseSlot(state), released => {
    const found = released.sessions.get(session)
    if (found?.work === undefined || found.work.id !== work) return { state: released, effects: [] }
    if (found.work.kind === 'commit') return commitServed(released, found)
    const isAutocommit = found.transaction.kind === 'none' && found.work.kind === 'write'
    return isAutocommit ? takeLock(released, session, work) : executeStatement(released, found, found.work)
  })
}

function executeStatement (state: ServerState, session: Session, work: Work): Next {
  const refusal = refusalOf(state, session, work)
  if (refusal !== undefined) return finish(state, session, refusal)
  const holds = state.lock.holder === session.id
  const transaction = session.transaction
  const beginning = beginningOf(transaction, work, holds)
  const applied = state.ledger.applied
  const opened: SessionTransaction = transaction.kind === 'begun'
    ? { kind: 'open', mode: holds ? 'write' : 'read', snapshot: applied, writes: [] }
    : transaction
  const position = opened.kind === 'open' ? opened.snapshot : applied
  return {
    state: putSession(state, { ...session, transaction: opened, position }),
    effects: [{ kind: 'execute', session: session.id, work: work.id, text: work.text, begin: beginning, own: beginning !== 'none' || opened.kind === 'open' }]
  }
}

function beginningOf (transaction: SessionTransaction, work: Work, holds: boolean): Beginning {
  switch (transaction.kind) {
    case 'none': return work.kind === 'write' ? 'write' : 'none'
    case 'begun': return holds ? 'write' : 'read'
    case 'open':
    case 'lost': return 'none'
  }
}

export function executed (state: ServerState, session: number, work: number, result: SqlReply, inTransaction: boolean): Next {
  const found = state.sessions.get(session)
  if (found?.work === undefined || found.work.id !== work) return { state, effects: [] }
  const transaction = found.transaction
  switch (transaction.kind) {
    case 'begun':
    case 'none': return found.work.kind === 'write' ? autocommit(state, found, found.work, result) : finish(state, found, result)
    case 'lost': return finish(state, found, readOnlyReply())
    case 'open': {
      if (!inTransaction) return finish(state, { ...found, transaction: { kind: 'lost' } }, result)
      const wrote = found.work.kind === 'write' && result.kind !== 'error'
      const writes = wrote ? [...transaction.writes, found.work.text] : transaction.writes
      const idle = { kind: 'later', delayMs: state.settings.idleTransactionMs, message: { kind: 'idle', session, lastWork: work } } as const
      const answered = answerWith(putSession(state, { ...found, work: undefined, transaction: { ...transaction, writes } }), found.work.reply, result)
      return transaction.mode === 'write' ? { ...answered, effects: [...answered.effects, idle] } : answered
    }
  }
}

function autocommit (state: ServerState, session: Session, work: Work, result: SqlReply): Next {
  const allowed = state.lock.holder === session.id && mayCommit(state.ledger)
  if (result.kind === 'error') return rollbackAndFinish(state, session, result)
  return allowed ? commitAndFinish(state, session, [work.text], result) : rollbackAndFinish(state, session, readOnlyReply())
}

function commitServed (state: ServerState, session: Session): Next {
  const transaction = session.transaction
  switch (transaction.kind) {
    case 'none':
    case 'begun':
    case 'lost': return finish(state, { ...session, transaction: noTransaction }, readOnlyReply())
    case 'open': {
      const ended = { ...session, transaction: noTransaction }
      if (transaction.writes.length === 0) {
        return andThen({ state, effects: [{ kind: 'commit', session: session.id }] }, next => finish(next, ended, doneReply))
      }
      const allowed = state.lock.holder === session.id && mayCommit(state.ledger)
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

/** Answers a session's statement; the lock stays only with an open transaction. */
function finish (state: ServerState, session: Session, answer: SqlReply): Next {
  const reply = session.work?.reply
  const idle = putSession(state, { ...session, work: undefined })
  const answered: Next = reply === undefined ? { state: idle, effects: [] } : answerWith(idle, reply, answer)
  return session.transaction.kind === 'open' ? answered : andThen(answered, next => releaseLock(next, session.id))
}

/** Ends a transaction that holds the lock and does nothing. */
export function idleTransaction (state: ServerState, session: number, lastWork: number): Next {
  const found = state.sessions.get(session)
  const idle = found?.lastWork === lastWork && found.work === undefined && found.transaction.kind === 'open'
  return { state, effects: idle ? [{ kind: 'disconnect', session }] : [] }
}

/** The server may commit no more: open writes are rolled back, waiting ones refused. */
export function loseWriters (state: ServerState): Next {
  const unlocked: ServerState = { ...state, lock: { holder: undefined, waiting: [] } }
  const refused = state.lock.waiting.reduce<Next>((next, id) => andThen(next, each => {
    const session = each.sessions.get(id)
    return session === undefined ? { state: each, effects: [] } : finish(each, session, readOnlyReply())
  }), { state: unlocked, effects: [] })
  const holder = state.lock.holder
  if (holder === undefined) return refused
  return andThen(refused, next => {
    const session = next.sessions.get(holder)
    const open = session?.transaction.kind === 'open'
    const lost = session !== undefined && open ? putSession(next, { ...session, transaction: { kind: 'lost' } }) : next
    return { state: lost, effects: [{ kind: 'rollback', session: holder }] }
  })
}
