// Decisions of the platform's object API: versions, conditional updates, watches,
// a host list that lags, and faults that tests inject. A pure step from state and
// call to state and answers; `http.ts` holds the HTTP encoding.

import type { Port, Transition } from '../../src/pipe/index.js'

export type Json = null | boolean | number | string | readonly Json[] | { readonly [key: string]: Json }

/** Answer to a call; `lost` closes the connection without a response. */
export type PlatformAnswer =
  | { readonly kind: 'body', readonly status: number, readonly body: Json, readonly delayMs: number }
  | { readonly kind: 'lost' }

export type AnswerPort = Port<PlatformAnswer>

export type StoredObject = {
  readonly kind: string
  readonly name: string
  readonly version: number
  readonly revision: number
  readonly value: Json
}

export type PlatformHost = {
  readonly host: string
  readonly failureDomain: string
  readonly ip: string
  readonly port: number
  readonly state: 'live' | 'leaving'
}

export type Faults = {
  /** The connection of every API call is closed without a response. */
  readonly down: boolean
  readonly delayMs: number
  /** Number of further updates that take effect without a response. */
  readonly dropAnswers: number
  /** Watches never receive a response. */
  readonly silentWatches: boolean
}

export const noFaults: Faults = { down: false, delayMs: 0, dropAnswers: 0, silentWatches: false }

type Watch = {
  readonly id: number
  readonly objectKind: string
  readonly since: number
  readonly port: AnswerPort
}

export type PlatformState = {
  readonly revision: number
  readonly objects: ReadonlyMap<string, StoredObject>
  readonly watches: readonly Watch[]
  readonly nextWatch: number
  readonly hosts: readonly PlatformHost[]
  readonly faults: Faults
  readonly calls: ReadonlyMap<string, number>
}

export const emptyPlatform: PlatformState = {
  revision: 0,
  objects: new Map(),
  watches: [],
  nextWatch: 1,
  hosts: [],
  faults: noFaults,
  calls: new Map()
}

type PutCall = { readonly kind: 'put', readonly objectKind: string, readonly name: string, readonly version: number, readonly value: Json, readonly port: AnswerPort }
type DeleteCall = { readonly kind: 'delete', readonly objectKind: string, readonly name: string, readonly version: number, readonly port: AnswerPort }
type WatchCall = { readonly kind: 'watch', readonly objectKind: string, readonly since: number, readonly timeoutMs: number, readonly port: AnswerPort }

/** A call of the object API. */
export type ObjectCall =
  | { readonly kind: 'get', readonly objectKind: string, readonly name: string, readonly port: AnswerPort }
  | { readonly kind: 'list', readonly objectKind: string, readonly port: AnswerPort }
  | PutCall
  | DeleteCall
  | WatchCall
  | { readonly kind: 'hosts', readonly port: AnswerPort }

/** A call of the control API for tests. */
export type ControlCall =
  | { readonly kind: 'setFaults', readonly faults: Faults, readonly port: AnswerPort }
  | { readonly kind: 'setHosts', readonly hosts: readonly PlatformHost[], readonly lagMs: number, readonly port: AnswerPort }
  | { readonly kind: 'stats', readonly port: AnswerPort }

/** Events that follow a delayed effect or a closed connection. */
export type DelayedEvent =
  | { readonly kind: 'watchTimedOut', readonly id: number }
  | { readonly kind: 'watcherDisconnected', readonly port: AnswerPort }
  | { readonly kind: 'hostsListed', readonly hosts: readonly PlatformHost[] }

export type PlatformMessage = ObjectCall | ControlCall | DelayedEvent

export type PlatformEffect =
  | { readonly kind: 'answer', readonly port: AnswerPort, readonly answer: PlatformAnswer }
  | { readonly kind: 'sendAfter', readonly delayMs: number, readonly message: DelayedEvent }

type Next = Transition<PlatformState, PlatformEffect>

export function stepPlatform (state: PlatformState, message: PlatformMessage): Next {
  switch (message.kind) {
    case 'get':
    case 'list':
    case 'put':
    case 'delete':
    case 'watch':
    case 'hosts': return stepCall(countCall(state, message), message)
    case 'setFaults': return setFaults(state, message.faults, message.port)
    case 'setHosts': return {
      state,
      effects: [{ kind: 'sendAfter', delayMs: message.lagMs, message: { kind: 'hostsListed', hosts: message.hosts } }, control(message.port, {})]
    }
    case 'stats': return { state, effects: [control(message.port, stats(state))] }
    case 'hostsListed': return { state: { ...state, hosts: message.hosts }, effects: [] }
    case 'watchTimedOut': return watchTimedOut(state, message.id)
    case 'watcherDisconnected': return { state: { ...state, watches: state.watches.filter(watch => watch.port !== message.port) }, effects: [] }
  }
}

function stepCall (state: PlatformState, call: ObjectCall): Next {
  if (state.faults.down) return { state, effects: [lost(call.port)] }
  switch (call.kind) {
    case 'get': {
      const found = state.objects.get(objectKey(call.objectKind, call.name))
      return { state, effects: [found === undefined ? answer(state, call.port, 404, {}) : answer(state, call.port, 200, objectJson(found))] }
    }
    case 'list': return { state, effects: [answer(state, call.port, 200, listingOf(state, call.objectKind, 0))] }
    case 'put': return put(state, call)
    case 'delete': return remove(state, call)
    case 'watch': return watch(state, call)
    case 'hosts': return { state, effects: [answer(state, call.port, 200, { hosts: state.hosts })] }
  }
}

function put (state: PlatformState, call: PutCall): Next {
  const key = objectKey(call.objectKind, call.name)
  const version = state.objects.get(key)?.version ?? 0
  if (version !== call.version) return { state, effects: [answer(state, call.port, 409, { version })] }
  const revision = state.revision + 1
  const stored: StoredObject = { kind: call.objectKind, name: call.name, version: version + 1, revision, value: call.value }
  const changed = { ...state, revision, objects: new Map(state.objects).set(key, stored) }
  const afterWake = wakeWatches(changed, call.objectKind)
  if (state.faults.dropAnswers === 0) {
    const success = answer(state, call.port, 200, { version: stored.version, revision })
    return { state: afterWake.state, effects: [success, ...afterWake.effects] }
  }
  const faults = { ...state.faults, dropAnswers: state.faults.dropAnswers - 1 }
  return { state: { ...afterWake.state, faults }, effects: [lost(call.port), ...afterWake.effects] }
}

// Watches report no deletions, so none is answered.
function remove (state: PlatformState, call: DeleteCall): Next {
  const key = objectKey(call.objectKind, call.name)
  const version = state.objects.get(key)?.version
  if (version === undefined) return { state, effects: [answer(state, call.port, 404, {})] }
  if (version !== call.version) return { state, effects: [answer(state, call.port, 409, { version })] }
  const objects = new Map([...state.objects].filter(([each]) => each !== key))
  return { state: { ...state, revision: state.revision + 1, objects }, effects: [answer(state, call.port, 200, {})] }
}

function watch (state: PlatformState, call: WatchCall): Next {
  if (state.faults.silentWatches) return { state, effects: [] }
  if (hasChanged(state, call.objectKind, call.since)) {
    return { state, effects: [answer(state, call.port, 200, listingOf(state, call.objectKind, call.since))] }
  }
  const id = state.nextWatch
  const added: Watch = { id, objectKind: call.objectKind, since: call.since, port: call.port }
  return {
    state: { ...state, nextWatch: id + 1, watches: [...state.watches, added] },
    effects: [{ kind: 'sendAfter', delayMs: call.timeoutMs, message: { kind: 'watchTimedOut', id } }]
  }
}

function wakeWatches (state: PlatformState, objectKind: string): Next {
  const completed = state.watches.filter(each => each.objectKind === objectKind)
  return {
    state: { ...state, watches: state.watches.filter(each => each.objectKind !== objectKind) },
    effects: completed.map(each => answer(state, each.port, 200, listingOf(state, objectKind, each.since)))
  }
}

function watchTimedOut (state: PlatformState, id: number): Next {
  const expired = state.watches.filter(each => each.id === id)
  return {
    state: { ...state, watches: state.watches.filter(each => each.id !== id) },
    effects: expired.map(each => answer(state, each.port, 200, { revision: state.revision, objects: [] }))
  }
}

function setFaults (state: PlatformState, faults: Faults, port: AnswerPort): Next {
  const acknowledgement = control(port, {})
  const withFaults = { ...state, faults }
  if (faults.down) return { state: { ...withFaults, watches: [] }, effects: [acknowledgement, ...state.watches.map(each => lost(each.port))] }
  // Watches that are already waiting receive no response either.
  if (faults.silentWatches) return { state: { ...withFaults, watches: [] }, effects: [acknowledgement] }
  return { state: withFaults, effects: [acknowledgement] }
}

function countCall (state: PlatformState, call: ObjectCall): PlatformState {
  const key = call.kind === 'hosts' ? 'hosts' : `${call.kind} ${call.objectKind}`
  return { ...state, calls: new Map(state.calls).set(key, (state.calls.get(key) ?? 0) + 1) }
}

function stats (state: PlatformState): Json {
  const calls = Object.fromEntries(state.calls)
  return { calls, total: [...state.calls.values()].reduce((sum, count) => sum + count, 0), watching: state.watches.length }
}

function objectKey (objectKind: string, name: string): string {
  return JSON.stringify([objectKind, name])
}

function hasChanged (state: PlatformState, objectKind: string, since: number): boolean {
  return [...state.objects.values()].some(each => each.kind === objectKind && each.revision > since)
}

function listingOf (state: PlatformState, objectKind: string, since: number): Json {
  const objects = [...state.objects.values()].filter(each => each.kind === objectKind && each.revision > since)
  return { revision: state.revision, objects: objects.map(objectJson) }
}

function objectJson (object: StoredObject): Json {
  return { kind: object.kind, name: object.name, version: object.version, value: object.value }
}

function answer (state: PlatformState, port: AnswerPort, status: number, body: Json): PlatformEffect {
  return { kind: 'answer', port, answer: { kind: 'body', status, body, delayMs: state.faults.delayMs } }
}

function control (port: AnswerPort, body: Json): PlatformEffect {
  return { kind: 'answer', port, answer: { kind: 'body', status: 200, body, delayMs: 0 } }
}

function lost (port: AnswerPort): PlatformEffect {
  return { kind: 'answer', port, answer: { kind: 'lost' } }
}
