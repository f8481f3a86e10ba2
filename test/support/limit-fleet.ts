// Simulates the rate limits of several hosts in virtual time: a queue of events,
// a network with message loss, delay and cut links, and hosts that can be paused
// and killed. Each host has its own clock.

import { confirmedUntil, limitsStep, initialLimits, limitsTickMs, partitionHandoverMs, type AdmissionMode, type LimitsEffect, type LimitsEvent, type LimitsState, type QuotaLayout } from '../../src/limits/index.js'
import type { Member } from '../../src/members/index.js'
import type { HostName, LoanReset, Manifest } from '../../src/model/index.js'

/** A seeded random number generator with results in [0, 1). */
export type Random = () => number

/** Creates a random number generator (Mulberry32). */
export function randomFrom (seed: number): Random {
  let state = seed | 0
  return () => {
    state = (state + 0x6d2b79f5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296
  }
}

type QueuedEvent = { readonly atMs: number, readonly order: number, readonly run: () => void }

type FleetNode = {
  readonly state: LimitsState
  readonly incarnation: number
  readonly isUp: boolean
  readonly isPaused: boolean
  /** Events received while the host was paused. */
  readonly backlog: ReadonlyArray<() => void>
}

/**
 * Creates a queue that runs events by time, and events of the same time in the
 * order of insertion.
 */
export function eventQueue () {
  const heap: QueuedEvent[] = []
  let order = 0
  let nowMs = 0
  const before = (a: number, b: number): boolean => {
    const first = heap[a] as QueuedEvent
    const second = heap[b] as QueuedEvent
    return first.atMs < second.atMs || (first.atMs === second.atMs && first.order < second.order)
  }
  const swap = (a: number, b: number): void => {
    [heap[a], heap[b]] = [heap[b] as QueuedEvent, heap[a] as QueuedEvent]
  }
  const take = () => {
    const first = heap[0]
    const last = heap.pop()
    if (first === undefined || last === undefined || heap.length === 0) return first
    heap[0] = last
    for (let at = 0; ;) {
      const left = 2 * at + 1
      const right = left + 1
      let smallest = at
      if (left < heap.length && before(left, smallest)) smallest = left
      if (right < heap.length && before(right, smallest)) smallest = right
      if (smallest === at) return first
      swap(at, smallest)
      at = smallest
    }
  }
  return {
    now: () => nowMs,
    at (atMs: number, run: () => void): void {
      order += 1
      heap.push({ atMs: Math.max(atMs, nowMs), order, run })
      for (let at = heap.length - 1; at > 0;) {
        const parent = (at - 1) >> 1
        if (!before(at, parent)) return
        swap(at, parent)
        at = parent
      }
    },
    run (untilMs: number): void {
      while (heap[0] !== undefined && heap[0].atMs <= untilMs) {
        const event = take()
        if (event === undefined) break
        nowMs = event.atMs
        event.run()
      }
      nowMs = Math.max(nowMs, untilMs)
    }
  }
}

/** Faults of the network link between two hosts. */
export type Link = { readonly isCut: boolean, readonly lossRate: number, readonly delayMs: number }

/** `host`: where the request waits; `entry`: where it came in. */
type PendingRequest = { readonly account: string, readonly host: HostName, readonly entry: HostName, readonly dispatcher: HostName, readonly requestedMs: number }

/** Result of one request. */
export type AdmissionResult = { readonly account: string, readonly host: HostName, readonly requestedMs: number, readonly atMs: number, readonly isAdmitted: boolean }

export type FleetOptions = {
  readonly hosts: number
  /** The first hosts, which own all partitions and are dispatchers; all hosts by default. */
  readonly capableHosts?: number
  /** Layout of the quota partitions, 'spread' by default. */
  readonly layout?: QuotaLayout
  readonly manifest: Manifest
  readonly seed: number
  readonly link?: (from: HostName, to: HostName) => Link
  /** Maximum relative error of each host's clock. */
  readonly drift?: number
  /**
   * Whether the partitions are divided evenly at the start; otherwise they come
   * from a partition table.
   */
  readonly assignsPartitions?: boolean
  /** Whether the configuration of every host stays confirmed permanently. */
  readonly isConfirmed?: boolean
}

export type Fleet = ReturnType<typeof limitFleet>

/** Time between two attempts to reach the hosts that hold loans of a previous process. */
const resetRetryMs = 100

const goodLink: Link = { isCut: false, lossRate: 0, delayMs: 1 }

/** Creates a fleet; no time passes until `run` is called. */
export function limitFleet ({ hosts, capableHosts = hosts, manifest, seed, layout = 'spread', link = () => goodLink, drift = 0, assignsPartitions = true, isConfirmed = true }: FleetOptions) {
  const random = randomFrom(seed)
  const queue = eventQueue()
  const names = Array.from({ length: hosts }, (_, at) => `h${at}`)
  const results: AdmissionResult[] = []
  const pending = new Map<string, PendingRequest>()
  /** `messages`: for quota; statements sent to dispatchers are `delegated`. */
  const counts = { messages: 0, requests: 0, delegated: 0 }
  const clocks = new Map(names.map(name => [name, { offsetMs: random() * 1e6, speed: 1 + (2 * random() - 1) * drift }]))
  const members: readonly Member[] = names.map((host, at) => ({ host, failureDomain: `d${at % 3}`, ip: '127.0.0.1', port: at, capacityCores: at < capableHosts ? 1 : 0.25 }))
  const nodes = new Map<HostName, FleetNode>()

  function clock (host: HostName): number {
    const { offsetMs, speed } = clocks.get(host) as { readonly offsetMs: number, readonly speed: number }
    return offsetMs + queue.now() * speed
  }

  function node (host: HostName): FleetNode {
    return nodes.get(host) as FleetNode
  }

  function updateNode (host: HostName, changed: Partial<FleetNode>): void {
    nodes.set(host, { ...node(host), ...changed })
  }

  // A paused host handles its backlog when it resumes, with the time of the resumption.
  function whenRunning (host: HostName, run: () => void): void {
    const to = node(host)
    if (to.isPaused) updateNode(host, { backlog: [...to.backlog, run] })
    else if (to.isUp) run()
  }

  function step (host: HostName, event: LimitsEvent): void {
    const { state, effects } = limitsStep(node(host).state, event)
    updateNode(host, { state })
    for (const effect of effects) perform(host, effect)
  }

  function send (from: HostName, to: HostName, run: () => void): void {
    counts.messages += 1
    transmit(from, to, run)
  }

  function transmit (from: HostName, to: HostName, run: () => void): void {
    const { isCut, lossRate, delayMs } = link(from, to)
    if (isCut || random() < lossRate) return
    const incarnation = node(to).incarnation
    queue.at(queue.now() + delayMs * (0.8 + 0.4 * random()), () => {
      whenRunning(to, () => { if (node(to).incarnation === incarnation) run() })
    })
  }

  const resets = new Map<string, (reset: LoanReset) => void>()

  // Asks all other hosts to give up the loans of the host's previous process, as
  // `clearLoans` in daemon/limits-task does.
  function clearLoans (host: HostName): void {
    const { incarnation } = node(host)
    const startedMs = clock(host)
    const pending = new Set(names.filter(name => name !== host))
    let clearMs = startedMs
    let unusedFromMs = startedMs
    const ask = (): void => {
      if (node(host).incarnation !== incarnation || pending.size === 0 || clock(host) >= startedMs + partitionHandoverMs) return
      for (const other of pending) {
        const callId = `reset ${host}/${incarnation}/${other}/${queue.now()}`
        resets.set(callId, ({ clearInMs, unusedMs }) => send(other, host, () => {
          clearMs = Math.max(clearMs, clock(host) + clearInMs)
          unusedFromMs = Math.max(unusedFromMs, clock(host) - unusedMs)
          pending.delete(other)
          if (pending.size === 0) step(host, { kind: 'loansCleared', clearMs, unusedFromMs, nowMs: clock(host) })
        }))
        send(host, other, () => step(other, { kind: 'resetLoans', callId, lender: host, nowMs: clock(other) }))
      }
      queue.at(queue.now() + resetRetryMs, ask)
    }
    ask()
  }

  const calls = new Map<string, { readonly from: HostName, readonly account: string, readonly sequence: number }>()
  function perform (host: HostName, effect: LimitsEffect): void {
    switch (effect.kind) {
      case 'admitted': return complete(effect.id, true)
      case 'refused': return refuse(host, effect)
      case 'delegated': return delegate(host, effect.id)
      case 'borrow': {
        const { to, request } = effect
        const callId = `${host}/${node(host).incarnation}/${request.sequence}`
        const incarnation = String(node(host).incarnation)
        calls.set(callId, { from: host, account: request.account, sequence: request.sequence })
        return send(host, to, () => step(to, { kind: 'borrowRequested', callId, from: host, incarnation, request, nowMs: clock(to) }))
      }
      case 'loansReset': {
        const answer = resets.get(effect.callId)
        resets.delete(effect.callId)
        return answer?.(effect)
      }
      case 'lend': {
        const call = calls.get(effect.callId)
        calls.delete(effect.callId)
        if (call === undefined) return
        const { from, account, sequence } = call
        return send(host, from, () => step(from, { kind: 'borrowAnswered', from: host, account, sequence, grant: effect.grant, nowMs: clock(from) }))
      }
    }
  }

  // The statement waits at the dispatcher from now on: it may run although its entry
  // host ends or the answer is lost.
  function delegate (host: HostName, id: string): void {
    const request = pending.get(id)
    if (request === undefined) return
    const { account, dispatcher } = request
    counts.delegated += 1
    pending.set(id, { ...request, host: dispatcher })
    const run = (): void => { step(dispatcher, { kind: 'admit', account, id, deadlineMs: Infinity, mode: 'delegated', nowMs: clock(dispatcher) }) }
    if (dispatcher === host) run()
    else transmit(host, dispatcher, run)
  }

  // As request/token.ts: the entry host takes the token itself where the dispatcher
  // could not decide, and borrows for a while after a refusal.
  function refuse (host: HostName, { id, cause }: Extract<LimitsEffect, { readonly kind: 'refused' }>): void {
    const request = pending.get(id)
    if (request === undefined || request.entry === host) return complete(id, false)
    const { entry, account } = request
    if (cause === 'noToken') complete(id, false)
    transmit(host, entry, () => {
      if (cause === 'noToken') return step(entry, { kind: 'delegationRefused', account, nowMs: clock(entry) })
      pending.set(id, { ...request, host: entry })
      step(entry, { kind: 'admit', account, id, deadlineMs: Infinity, mode: 'local', nowMs: clock(entry) })
    })
  }

  function complete (id: string, isAdmitted: boolean): void {
    const request = pending.get(id)
    if (request === undefined) return
    pending.delete(id)
    const { account, host, requestedMs } = request
    results.push({ account, host, requestedMs, atMs: queue.now(), isAdmitted })
  }

  function start (host: HostName, incarnation: number): void {
    nodes.set(host, { state: initialLimits(host, clock(host)), incarnation, isUp: true, isPaused: false, backlog: [] })
    if (isConfirmed) step(host, { kind: 'confirmationChanged', confirmation: confirmedUntil(Infinity), nowMs: clock(host) })
    step(host, { kind: 'membersChanged', live: members, nowMs: clock(host) })
    step(host, { kind: 'layoutChanged', layout, nowMs: clock(host) })
    step(host, { kind: 'manifestApplied', manifest, nowMs: clock(host) })
    if (assignsPartitions) assignPartitions(host, evenPartitions(host))
  }

  function evenPartitions (host: HostName): readonly number[] {
    const at = names.indexOf(host)
    return Array.from({ length: manifest.seats }, (_, partition) => partition).filter(partition => Math.floor(partition * capableHosts / manifest.seats) === at)
  }

  function evenOwners (): ReadonlyMap<number, HostName> {
    return new Map(names.flatMap(name => evenPartitions(name).map((partition): readonly [number, HostName] => [partition, name])))
  }

  function assignPartitions (host: HostName, owned: readonly number[]): void {
    const reacquired = new Set(node(host).incarnation === 0 ? [] : owned)
    whenRunning(host, () => step(host, { kind: 'partitionsChanged', owned, reacquired, owners: assignsPartitions ? evenOwners() : new Map(), tableReadSentMs: clock(host), nowMs: clock(host) }))
  }

  function tick (): void {
    for (const host of names) {
      const { isUp, isPaused, state } = node(host)
      if (isUp && !isPaused && state.active.size > 0) step(host, { kind: 'tick', nowMs: clock(host) })
    }
    queue.at(queue.now() + limitsTickMs, tick)
  }

  function admit (entry: HostName, dispatcher: HostName, account: string, mode: AdmissionMode): void {
    counts.requests += 1
    const id = `r${counts.requests}`
    pending.set(id, { account, host: entry, entry, dispatcher, requestedMs: queue.now() })
    if (!node(entry).isUp) return complete(id, false)
    whenRunning(entry, () => step(entry, { kind: 'admit', account, id, deadlineMs: Infinity, mode, nowMs: clock(entry) }))
  }

  for (const host of names) start(host, 0)
  tick()
  return {
    names,
    results,
    counts,
    now: queue.now,
    at: queue.at,
    run: queue.run,
    assignPartitions,
    evenPartitions,
    request (host: HostName, account: string): void {
      admit(host, host, account, 'local')
    },
    /** A request whose token the dispatcher takes where the host has none. */
    requestVia (host: HostName, dispatcher: HostName, account: string): void {
      admit(host, dispatcher, account, 'delegable')
    },
    capacityOf: (host: HostName): number | undefined => members.find(member => member.host === host)?.capacityCores,
    pause (host: HostName): void { updateNode(host, { isPaused: true }) },
    resume (host: HostName): void {
      const { backlog } = node(host)
      updateNode(host, { isPaused: false, backlog: [] })
      for (const run of backlog) whenRunning(host, run)
    },
    kill (host: HostName): void {
      updateNode(host, { isUp: false, isPaused: false, backlog: [] })
      for (const [id, request] of pending) if (request.host === host) complete(id, false)
    },
    restart (host: HostName): void {
      start(host, node(host).incarnation + 1)
      clearLoans(host)
    },
    setMembers (host: HostName, live: readonly HostName[]): void {
      whenRunning(host, () => step(host, { kind: 'membersChanged', live: members.filter(member => live.includes(member.host)), nowMs: clock(host) }))
    },
    /** Delivers an event to a host; a paused host handles it when it resumes. */
    deliver (host: HostName, event: (nowMs: number) => LimitsEvent): void {
      whenRunning(host, () => step(host, event(clock(host))))
    },
    whenRunning,
    clock,
    random,
    incarnationOf: (host: HostName) => String(node(host).incarnation),
    stateOf: (host: HostName) => node(host).state,
    isUp: (host: HostName): boolean => node(host).isUp,
    /** Whether the host is up and not paused. */
    isRunning: (host: HostName) => node(host).isUp && !node(host).isPaused
  }
}

/**
 * Computes by how many tokens the admissions exceed burst + rate * window in
 * the worst window.
 */
export function capExceeded (results: readonly AdmissionResult[], account: string, ratePerS: number, burst: number): number {
  const times = results.filter(result => result.isAdmitted && result.account === account).map(({ atMs }) => atMs).sort((a, b) => a - b)
  let level = burst
  let lastMs = times[0] ?? 0
  let worst = 0
  for (const atMs of times) {
    level = Math.min(burst, level + ratePerS * (atMs - lastMs) / 1000) - 1
    lastMs = atMs
    worst = Math.max(worst, -level)
  }
  return worst
}

/** Selects the requests that a single token bucket for the whole fleet would have admitted. */
export function idealAdmissions (results: readonly AdmissionResult[], account: string, ratePerS: number, burst: number): ReadonlySet<AdmissionResult> {
  const requests = results.filter(result => result.account === account).sort((a, b) => a.requestedMs - b.requestedMs)
  const admitted = new Set<AdmissionResult>()
  let level = burst
  let lastMs = 0
  for (const request of requests) {
    level = Math.min(burst, level + ratePerS * (request.requestedMs - lastMs) / 1000)
    lastMs = request.requestedMs
    if (level < 1) continue
    level -= 1
    admitted.add(request)
  }
  return admitted
}

/** Creates a manifest with accounts only. */
export function accountsManifest (seats: number, accounts: ReadonlyArray<{ readonly name: string, readonly ratePerS: number, readonly burst: number }>): Manifest {
  return {
    accounts: accounts.map(account => ({ ...account, keys: [], weight: 1 })),
    databases: [],
    routes: [],
    anonymous: { ratePerS: 1, burst: 1 },
    seats
  }
}
