// Filter: finds the floor that a read has to cover. A caller without a token may
// have written through any other connection, a pooled one that was open all
// the while included, so each of its session reads gets a floor that covers
// every write acknowledged before. A caller that carries a token brings its
// floors along. A read of a stated age needs no floor but its age.

import { notRun, originPosition, type DatabaseName } from '../model/index.js'
import { end, next, type Filter } from '../pipe/index.js'
import { served, type Classified, type Floored, type Served } from './message.js'
import type { RequestServices } from './services.js'
import { raiseFloor, type SessionState } from './session.js'

/**
 * Makes the filter.
 * @param services - opens floors
 * @returns the filter
 */
export function openFloor (services: Pick<RequestServices, 'openFloor'>): Filter<Classified, Floored, Served> {
  return async message => {
    const { session, database } = message
    if (!needsOpening(message)) return next({ ...message, floor: session.floors[database.name] ?? originPosition })
    const opened = await services.openFloor(database.name, message.statement.deadlineAtMs)
    if (opened === undefined) return end(served(message, notRun('noServer', 'no majority of the servers told its position')))
    const raised = raiseFloor(session, database.name, opened)
    return next({ ...message, session: raised, floor: floorOf(raised, database.name) })
  }
}

function needsOpening (message: Classified): boolean {
  const { statement, session } = message
  if (statement.statementClass.kind !== 'read' || session.transaction !== undefined) return false
  switch (statement.statementClass.level.kind) {
    case 'age': return false
    case 'latest': return true
    case 'session': return !session.hasToken
  }
}

function floorOf (session: SessionState, database: DatabaseName): typeof originPosition {
  return session.floors[database] ?? originPosition
}
