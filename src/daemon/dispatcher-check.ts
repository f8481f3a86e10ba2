// The dispatcher's check before a statement runs. By the last reported status, the
// server must be the primary for a write, and its data must satisfy the read
// consistency for a read. Where the driver's `minPositionCheck` is 'server', the
// server rejects a read below the minimum position that is sent with it; where it
// is 'dispatcher', this module compares positions.
//
// The last status may be out of date: a replaced primary passes the check until
// this host learns of its successor. A write on it still gets no quorum (see
// request/quorum-wait.ts), and a strong read takes its minimum position from a new
// round of queries (see request/min-position.ts).

import type { DispatchRequest, ServerCheck } from '../dispatch/index.js'
import { covers, laterPosition, type ReadConsistency, type Position, type ServerDeclaration } from '../model/index.js'
import { sleep, type TimerService } from '../pipe/index.js'
import type { DatabaseDriver } from '../ports/index.js'
import { oldestWatermark, isWithinStaleness } from '../request/index.js'
import type { DatabaseTask } from './database-task.js'

/** Inputs of the check. */
export type CheckSpec = {
  readonly timers: TimerService
  readonly server: ServerDeclaration
  readonly database: DatabaseTask
  readonly minPositionCheck: DatabaseDriver['minPositionCheck']
}

/** Time that a replica gets to apply entries that it has received already. */
const maxCatchUpMs = 15
const catchUpPollMs = 2
/** A replica with more lag will hardly catch up while a read is in transit to it. */
const maxLagMs = 150

/**
 * Checks whether the server may run a statement now.
 * @param spec - the server and its database
 * @param message - the statement
 * @returns the server's role, or the reason for the rejection
 */
export async function checkServer (spec: CheckSpec, message: DispatchRequest): Promise<ServerCheck> {
  const { mode } = message.request
  switch (mode.kind) {
    // These run on the session of their transaction, whatever the server's role.
    // 'primary' is also reported where a read-only transaction runs on a replica.
    case 'inTransaction':
    case 'commit':
    case 'rollback': return { kind: 'allowed', role: 'primary', minPosition: undefined }
    case 'begin': return await checkBegin(spec, mode)
    case 'write': return isPrimary(spec) ? { kind: 'allowed', role: 'primary', minPosition: undefined } : { kind: 'rejected', reason: 'noPrimary', detail: `${spec.server.name} is not the primary` }
    case 'read': return await checkRead(spec, mode.freshness)
  }
}

type Begin = Extract<DispatchRequest['request']['mode'], { readonly kind: 'begin' }>

// Where servers check minimum positions, a server rejects BEGIN if it has not
// reached the minimum position. The position is therefore sent with writing
// transactions, too, so that a replaced primary that is behind it opens none.
async function checkBegin (spec: CheckSpec, mode: Begin): Promise<ServerCheck> {
  if (mode.access === 'write' && !isPrimary(spec)) return { kind: 'rejected', reason: 'noPrimary', detail: `${spec.server.name} is not the primary` }
  if (mode.access === 'write' && spec.minPositionCheck === 'dispatcher') return { kind: 'allowed', role: 'primary', minPosition: undefined }
  return await checkRead(spec, mode.freshness)
}

// `freshness`, 'floor' and 'floorAndAge' are names on the wire: the read consistency,
// and a minimum position alone or with a staleness bound (see ReadConsistency).
async function checkRead (spec: CheckSpec, consistency: ReadConsistency): Promise<ServerCheck> {
  switch (spec.minPositionCheck) {
    case 'dispatcher': return await checkAtDispatcher(spec, consistency)
    case 'server': return await minPositionForServer(spec, consistency)
  }
}

// Finds the minimum position that is sent with the read. A replica whose last
// status shows a large lag is rejected without a query.
async function minPositionForServer (spec: CheckSpec, consistency: ReadConsistency): Promise<ServerCheck> {
  const minPosition = await minPositionOf(spec, consistency)
  if (minPosition === undefined) return { kind: 'rejected', reason: 'noServer', detail: 'no majority of the servers reported a position' }
  if (!isPrimary(spec) && isFarBehind(spec, minPosition)) return { kind: 'rejected', reason: 'behind', detail: `${spec.server.name} is far behind`, newest: undefined }
  return { ...allowRead(spec), minPosition }
}

async function minPositionOf (spec: CheckSpec, consistency: ReadConsistency): Promise<Position | undefined> {
  const { database, timers } = spec
  switch (consistency.kind) {
    case 'floor': return consistency.position
    case 'newest': return await database.quorumMinPosition(spec.server.name)
    case 'age': return oldestWatermark(database.view.get().staleness, consistency.maxAgeMs, timers.nowMs()) ?? await database.quorumMinPosition(spec.server.name)
    case 'floorAndAge': {
      const minPosition = oldestWatermark(database.view.get().staleness, consistency.maxAgeMs, timers.nowMs()) ?? await database.quorumMinPosition(spec.server.name)
      return minPosition === undefined ? undefined : laterPosition(minPosition, consistency.position)
    }
  }
}

function isFarBehind (spec: CheckSpec, minPosition: Position): boolean {
  const status = spec.database.view.get().statuses.get(spec.server.name)
  return status !== undefined && !covers(status.applied, minPosition) && (status.lagMs ?? 0) > maxLagMs
}

async function checkAtDispatcher (spec: CheckSpec, consistency: ReadConsistency): Promise<ServerCheck> {
  const { server, database, timers } = spec
  switch (consistency.kind) {
    case 'floorAndAge': {
      const staleness = await checkAtDispatcher(spec, { kind: 'age', maxAgeMs: consistency.maxAgeMs })
      return staleness.kind === 'allowed' ? await checkMinPosition(spec, consistency.position) : staleness
    }
    case 'floor': return await checkMinPosition(spec, consistency.position)
    case 'age': {
      const applied = appliedBy(spec)
      const isWithinBound = applied !== undefined && isWithinStaleness(database.view.get().staleness, applied, consistency.maxAgeMs, timers.nowMs())
      return isWithinBound ? allowRead(spec) : { kind: 'rejected', reason: 'behind', detail: `the data of ${server.name} is older than ${consistency.maxAgeMs} ms` }
    }
    case 'newest': {
      const minPosition = await database.quorumMinPosition(undefined)
      if (minPosition === undefined) return { kind: 'rejected', reason: 'noServer', detail: 'no majority of the servers reported a position' }
      const check = await checkMinPosition(spec, minPosition)
      // With `newest`, the sender's next attempt needs only this minimum position and
      // no further round.
      return check.kind === 'allowed' ? check : { ...check, newest: minPosition }
    }
  }
}

// A replica that has received the minimum position gets a short time to apply it:
// a wait costs less than a read on the primary.
async function checkMinPosition (spec: CheckSpec, minPosition: Position): Promise<ServerCheck> {
  const { timers } = spec
  const untilMs = timers.nowMs() + maxCatchUpMs
  while (!coversMinPosition(spec, minPosition)) {
    const received = spec.database.view.get().statuses.get(spec.server.name)?.received
    const hasReceived = received !== undefined && covers(received, minPosition)
    if (!hasReceived || timers.nowMs() >= untilMs) return { kind: 'rejected', reason: 'behind', detail: `${spec.server.name} has not applied the minimum position of the session` }
    await sleep(timers, catchUpPollMs)
  }
  return allowRead(spec)
}

// A promoted primary has every acknowledged write of its own and of earlier terms,
// also those after its last status. A minimum position of a later term shows that
// it was replaced.
function coversMinPosition (spec: CheckSpec, minPosition: Position): boolean {
  if (isPrimary(spec)) return minPosition.term <= spec.database.view.get().primary.term
  const applied = appliedBy(spec)
  return applied !== undefined && covers(applied, minPosition)
}

function allowRead (spec: CheckSpec): Extract<ServerCheck, { readonly kind: 'allowed' }> {
  return { kind: 'allowed', role: isPrimary(spec) ? 'primary' : 'replica', minPosition: undefined }
}

function isPrimary (spec: CheckSpec): boolean {
  return spec.database.view.get().primary.primary === spec.server.name
}

function appliedBy (spec: CheckSpec): Position | undefined {
  return spec.database.view.get().statuses.get(spec.server.name)?.applied
}
