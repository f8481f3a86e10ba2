// Filter: resolves the read consistency, that is, what a read has to cover. A
// caller without a token may have written through any other connection,
// including a pooled one that was open all along, so each of its session reads
// covers every write acknowledged before it. The token of a caller carries its
// minimum positions. A bounded-staleness read is subject to its staleness bound
// only.
//
// Kinds and fields of `ReadConsistency` and `RouteConsistency` are names of the
// wire and of the manifest: `floor` is a minimum position, `floorAndAge` adds a
// staleness bound, and `freshness` is a read consistency.

import { originPosition, type ReadConsistency, type Position, type RouteConsistency } from '../model/index.js'
import { next, type Filter } from '../pipe/index.js'
import type { Admitted, Classified, ConsistencyResolved, RequestResult } from './message.js'

/**
 * Creates the consistency filter.
 * @returns the filter
 */
export function resolveConsistency (): Filter<Admitted, ConsistencyResolved, RequestResult> {
  return message => next({ ...message, consistency: consistencyOf(message) })
}

function consistencyOf (message: Classified): ReadConsistency {
  const { statement, session, database, route } = message
  const position = session.minPositions[database.name] ?? originPosition
  const atMinPosition: ReadConsistency = { kind: 'floor', position }
  const { statementClass } = statement
  if (statementClass.kind === 'begin') return route.policy === undefined ? atMinPosition : routeConsistency(route.policy.freshness, position)
  if (statementClass.kind !== 'read') return atMinPosition
  switch (statementClass.level.kind) {
    case 'age': return { kind: 'age', maxAgeMs: statementClass.level.maxAgeMs }
    case 'latest': return { kind: 'newest' }
    case 'session':
    case 'route': {
      if (route.policy !== undefined) return routeConsistency(route.policy.freshness, position)
      return session.hasToken ? atMinPosition : { kind: 'newest' }
    }
  }
}

function routeConsistency (routePolicy: RouteConsistency, position: Position): ReadConsistency {
  switch (routePolicy.kind) {
    case 'newest': return { kind: 'newest' }
    case 'age': return { kind: 'age', maxAgeMs: routePolicy.maxAgeMs }
    case 'ownWrites': return { kind: 'floorAndAge', position, maxAgeMs: routePolicy.maxAgeMs }
  }
}
