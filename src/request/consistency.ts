// Filter: finds what a read has to cover. A caller without a token may have
// written through any other connection, a pooled one that was open all the
// while included, so each of its session reads covers every write acknowledged
// before it. A caller that carries a token brings its floors along. A read of a
// stated age has its age and nothing else to keep.

import { originPosition, type ReadConsistency, type Position, type RouteConsistency } from '../model/index.js'
import { next, type Filter } from '../pipe/index.js'
import type { Classified, ConsistencyResolved, RequestResult } from './message.js'

/**
 * Makes the filter.
 * @returns the filter
 */
export function resolveConsistency (): Filter<Classified, ConsistencyResolved, RequestResult> {
  return message => next({ ...message, consistency: freshnessOf(message) })
}

function freshnessOf (message: Classified): ReadConsistency {
  const { statement, session, database, route } = message
  const position = session.minPositions[database.name] ?? originPosition
  const floor: ReadConsistency = { kind: 'floor', position }
  const { statementClass } = statement
  if (statementClass.kind === 'begin') return route.policy === undefined ? floor : byRoute(route.policy.freshness, position)
  if (statementClass.kind !== 'read') return floor
  switch (statementClass.level.kind) {
    case 'age': return { kind: 'age', maxAgeMs: statementClass.level.maxAgeMs }
    case 'latest': return { kind: 'newest' }
    case 'session':
    case 'route': {
      if (route.policy !== undefined) return byRoute(route.policy.freshness, position)
      return session.hasToken ? floor : { kind: 'newest' }
    }
  }
}

function byRoute (freshness: RouteConsistency, position: Position): ReadConsistency {
  switch (freshness.kind) {
    case 'newest': return { kind: 'newest' }
    case 'age': return { kind: 'age', maxAgeMs: freshness.maxAgeMs }
    case 'ownWrites': return { kind: 'floorAndAge', position, maxAgeMs: freshness.maxAgeMs }
  }
}
