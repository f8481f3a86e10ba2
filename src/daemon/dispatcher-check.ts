// Whether a server may run a statement now, as far as its home knows: it leads
// for a write, and covers what a read asks for.

import type { DispatchRequest, ServerCheck } from '../dispatch/index.js'
import { covers, laterPosition, type ReadConsistency, type Position, type ServerDeclaration } from '../model/index.js'
import { sleep, type TimerService } from '../pipe/index.js'
import type { DatabaseDriver } from '../ports/index.js'
import { oldestWatermark, isWithinStaleness } from '../request/index.js'
import type { DatabaseTask } from './database-task.js'

/** What the check looks at. */
export type CheckSpec = {
  readonly timers: TimerService
  readonly server: ServerDeclaration
  readonly database: DatabaseTask
  readonly minPositionCheck: DatabaseDriver['minPositionCheck']
}

/** Time that a replica has to apply what it has received. */
const catchUpMs = 15
const catchUpPollMs = 2
/** A replica that lags more than this will hardly catch up while a read is on its way to it. */
const farBehindMs = 150

/**
 * Checks whether the server may run a statement now.
 * @param spec - the server and its database
 * @param message - the statement
 * @returns its role, or why it may not
 */
export async function checkServer (spec: CheckSpec, message: DispatchRequest): Promise<ServerCheck> {
  const { mode } = message.request
  switch (mode.kind) {
    case 'inTransaction':
    case 'commit':
    case 'rollback': return { kind: 'may', role: 'primary', minPosition: undefined }
    case 'begin': return await checkBegin(spec, mode)
    case 'write': return leads(spec) ? { kind: 'may', role: 'primary', minPosition: undefined } : { kind: 'mayNot', reason: 'noPrimary', detail: `${spec.server.name} is not the primary` }
    case 'read': return await checkRead(spec, mode.freshness)
  }
}

type Begin = Extract<DispatchRequest['request']['mode'], { readonly kind: 'begin' }>

// Where servers check floors, one that was replaced refuses to begin.
async function checkBegin (spec: CheckSpec, mode: Begin): Promise<ServerCheck> {
  if (mode.access === 'write' && !leads(spec)) return { kind: 'mayNot', reason: 'noPrimary', detail: `${spec.server.name} is not the primary` }
  if (mode.access === 'write' && spec.minPositionCheck === 'home') return { kind: 'may', role: 'primary', minPosition: undefined }
  return await checkRead(spec, mode.freshness)
}

async function checkRead (spec: CheckSpec, freshness: ReadConsistency): Promise<ServerCheck> {
  switch (spec.minPositionCheck) {
    case 'home': return await checkHere(spec, freshness)
    case 'server': return await floorForServer(spec, freshness)
  }
}

// Finds the floor that goes along with the read. A replica that was far behind
// a moment ago is passed over without asking it.
async function floorForServer (spec: CheckSpec, freshness: ReadConsistency): Promise<ServerCheck> {
  const floor = await floorOf(spec, freshness)
  if (floor === undefined) return { kind: 'mayNot', reason: 'noServer', detail: 'no majority of the servers told its position' }
  if (!leads(spec) && isFarBehind(spec, floor)) return { kind: 'mayNot', reason: 'behind', detail: `${spec.server.name} is far behind`, newest: undefined }
  return { ...mayRead(spec), minPosition: floor }
}

async function floorOf (spec: CheckSpec, freshness: ReadConsistency): Promise<Position | undefined> {
  const { database, timers } = spec
  switch (freshness.kind) {
    case 'floor': return freshness.position
    case 'newest': return await database.quorumMinPosition(spec.server.name)
    case 'age': return oldestWatermark(database.view.get().staleness, freshness.maxAgeMs, timers.nowMs()) ?? await database.quorumMinPosition(spec.server.name)
    case 'floorAndAge': {
      const mark = oldestWatermark(database.view.get().staleness, freshness.maxAgeMs, timers.nowMs()) ?? await database.quorumMinPosition(spec.server.name)
      return mark === undefined ? undefined : laterPosition(mark, freshness.position)
    }
  }
}

function isFarBehind (spec: CheckSpec, floor: Position): boolean {
  const status = spec.database.view.get().statuses.get(spec.server.name)
  return status !== undefined && !covers(status.applied, floor) && (status.lagMs ?? 0) > farBehindMs
}

async function checkHere (spec: CheckSpec, freshness: ReadConsistency): Promise<ServerCheck> {
  const { server, database, timers } = spec
  switch (freshness.kind) {
    case 'floorAndAge': {
      const young = await checkHere(spec, { kind: 'age', maxAgeMs: freshness.maxAgeMs })
      return young.kind === 'may' ? await checkFloor(spec, freshness.position) : young
    }
    case 'floor': return await checkFloor(spec, freshness.position)
    case 'age': {
      const applied = appliedBy(spec)
      const fresh = applied !== undefined && isWithinStaleness(database.view.get().staleness, applied, freshness.maxAgeMs, timers.nowMs())
      return fresh ? mayRead(spec) : { kind: 'mayNot', reason: 'behind', detail: `${server.name} is older than ${freshness.maxAgeMs} ms` }
    }
    case 'newest': {
      const newest = await database.quorumMinPosition(undefined)
      if (newest === undefined) return { kind: 'mayNot', reason: 'noServer', detail: 'no majority of the servers told its position' }
      const verdict = await checkFloor(spec, newest)
      return verdict.kind === 'may' ? verdict : { ...verdict, newest }
    }
  }
}

// A replica that has received the floor gets a little time to apply it, which
// costs less than the way to the primary.
async function checkFloor (spec: CheckSpec, floor: Position): Promise<ServerCheck> {
  const { timers } = spec
  const untilMs = timers.nowMs() + catchUpMs
  while (!coversFloor(spec, floor)) {
    const received = spec.database.view.get().statuses.get(spec.server.name)?.received
    const isComing = received !== undefined && covers(received, floor)
    if (!isComing || timers.nowMs() >= untilMs) return { kind: 'mayNot', reason: 'behind', detail: `${spec.server.name} has not applied the session's floor` }
    await sleep(timers, catchUpPollMs)
  }
  return mayRead(spec)
}

// A primary holds everything up to its own term, whatever it told last.
function coversFloor (spec: CheckSpec, floor: Position): boolean {
  if (leads(spec)) return floor.term <= spec.database.view.get().primary.term
  const applied = appliedBy(spec)
  return applied !== undefined && covers(applied, floor)
}

function mayRead (spec: CheckSpec): Extract<ServerCheck, { readonly kind: 'may' }> {
  return { kind: 'may', role: leads(spec) ? 'primary' : 'replica', minPosition: undefined }
}

function leads (spec: CheckSpec): boolean {
  return spec.database.view.get().primary.primary === spec.server.name
}

function appliedBy (spec: CheckSpec): Position | undefined {
  return spec.database.view.get().statuses.get(spec.server.name)?.applied
}
