// A fleet in virtual time whose store returns from copies: quota partitions, limits and
// era knowledge of each host on one store of named tables. Hosts lose the store or
// their peers, and writes may reach the store long after they were sent.

import { eraStep, initialEraKnowledge, type EraEffect, type EraEvent, type EraKnowledge } from '../../src/era/index.js'
import { initialLimits, initialPartitions, limitsStep, partitionsStep, type LimitsState, type PartitionsEffect, type PartitionsEvent, type PartitionsState, type PartitionTable } from '../../src/limits/index.js'
import type { ListedHost } from '../../src/members/index.js'

export const confirmWithinMs = 4000
const stepMs = 100
const heartbeatMs = 1000
const partitionCount = 24

type Table = { readonly table: PartitionTable, readonly version: number }
type Tables = ReadonlyMap<string, Table>
type Call = { readonly atMs: number, readonly run: (nowMs: number) => void }

type Host = {
  readonly name: string
  readonly partitions: PartitionsState
  readonly limits: LimitsState
  readonly eras: EraKnowledge
  readonly askedAtMs: ReadonlyMap<string, number>
  readonly storeAskedMs: number
}

/** What happens to the fleet at a time. */
export type FleetEvent =
  | { readonly kind: 'restore', readonly ageMs: number }
  | { readonly kind: 'storeLost' | 'peersLost' | 'paused', readonly host: number, readonly forMs: number }
  /** The host takes no part in the distribution for a time, so that partitions move. */
  | { readonly kind: 'leaving', readonly host: number, readonly forMs: number }

/** Starts a fleet; `lateMs` gives the time that each write takes to reach the store. */
export function eraFleet (names: readonly string[], lateMs: () => number) {
  let tables: Tables = new Map()
  let copies: ReadonlyArray<{ readonly atMs: number, readonly tables: Tables, readonly revision: number }> = [{ atMs: -Infinity, tables, revision: 0 }]
  let era = 0
  let revision = 0
  let calls: readonly Call[] = []
  let nowMs = 0
  let until: ReadonlyMap<string, number> = new Map()
  const hosts = new Map<string, Host>(names.map(name => [name, {
    name,
    partitions: initialPartitions({ host: name, incarnation: '1' }),
    limits: initialLimits(name, -Infinity),
    eras: initialEraKnowledge(name, confirmWithinMs),
    askedAtMs: new Map(),
    storeAskedMs: -Infinity
  }]))
  const get = (name: string): Host => hosts.get(name) as Host
  const is = (kind: FleetEvent['kind'], name: string): boolean => nowMs < (until.get(`${kind}/${name}`) ?? -Infinity)
  const later = (delayMs: number, run: Call['run']): void => { calls = [...calls, { atMs: nowMs + delayMs, run }] }

  function change (name: string, changes: Partial<Host>): void {
    hosts.set(name, { ...get(name), ...changes })
  }

  function onEra (name: string, event: EraEvent): void {
    const { state, effects } = eraStep(get(name).eras, event)
    change(name, { eras: state })
    for (const effect of effects) onEraEffect(name, effect)
  }

  function onEraEffect (name: string, effect: EraEffect): void {
    switch (effect.kind) {
      case 'raised': return
      case 'heard': return onPartitions(name, { kind: 'eraHeard', era: effect.era, nowMs })
      case 'settled': return onPartitions(name, { kind: 'eraSettled', era: effect.era, nowMs })
    }
  }

  function onPartitions (name: string, event: PartitionsEvent): void {
    const { state, effects } = partitionsStep(get(name).partitions, event)
    change(name, { partitions: state })
    for (const effect of effects) perform(name, effect)
  }

  function perform (name: string, effect: PartitionsEffect): void {
    switch (effect.kind) {
      case 'partitionsChanged': {
        renewContact(name)
        return change(name, { limits: limitsStep(get(name).limits, { ...effect, nowMs }).state })
      }
      case 'readTable': return later(50, () => { read(name) })
      case 'writeTable': return write(name, effect)
    }
  }

  /** As `readTableOfEra` of the limits task. */
  function read (name: string): void {
    if (is('storeLost', name) || is('paused', name)) return onPartitions(name, { kind: 'readFailed', nowMs })
    change(name, { storeAskedMs: nowMs })
    onEra(name, { kind: 'storeAnswered', era, nowMs })
    const found = tables.get(`table.${era}`)
    if (found !== undefined || era === 0) return onPartitions(name, { kind: 'tableRead', table: found?.table, version: found?.version ?? 0, era, nowMs })
    const earlier = Array.from({ length: era }, (_, at) => tables.get(`table.${at}`)).findLast(table => table !== undefined)
    onPartitions(name, { kind: 'copyRead', table: earlier?.table, era, nowMs })
  }

  function write (name: string, { value, version }: Extract<PartitionsEffect, { readonly kind: 'writeTable' }>): void {
    const writeEra = value.era ?? 0
    const sentMs = nowMs
    if (get(name).eras.era !== writeEra || is('storeLost', name)) return later(50, () => { onPartitions(name, { kind: 'writeEnded', nowMs }) })
    const delayMs = lateMs()
    const isLate = delayMs > 1000
    later(delayMs, () => {
      const key = `table.${writeEra}`
      const isWritten = (tables.get(key)?.version ?? 0) === version
      if (isWritten) {
        revision += 1
        tables = new Map(tables).set(key, { table: value, version: revision })
        copies = [...copies, { atMs: nowMs, tables, revision }]
      }
      if (isLate) return
      onEra(name, { kind: 'storeAnswered', era, nowMs })
      onPartitions(name, isWritten && era === writeEra ? { kind: 'written', table: value, version: revision, sentMs } : { kind: 'writeEnded', nowMs })
    })
    if (isLate) later(1000, () => { onPartitions(name, { kind: 'writeEnded', nowMs }) })
  }

  // Contact as in config/configuration: by the store, or a majority of the quorum.
  function renewContact (name: string): void {
    const { askedAtMs, storeAskedMs, limits } = get(name)
    const answers = [...askedAtMs.values()].sort((a, b) => b - a)
    const byMajorityMs = answers[Math.floor(names.length / 2) - 1] ?? -Infinity
    const contactUntilMs = Math.max(storeAskedMs, byMajorityMs) + confirmWithinMs
    change(name, { limits: limitsStep(limits, { kind: 'confirmationChanged', confirmation: { confirmedUntilMs: contactUntilMs, contactUntilMs }, nowMs }).state })
  }

  function exchange (from: string): void {
    for (const to of names) {
      if (to === from || [from, to].some(name => is('peersLost', name) || is('paused', name))) continue
      change(from, { askedAtMs: new Map(get(from).askedAtMs).set(to, nowMs) })
      onEra(from, { kind: 'hostStated', host: to, era: get(to).eras.era, nowMs })
    }
  }

  function listed (): readonly ListedHost[] {
    return names.map((host, at) => ({ host, failureDomain: 'd', ip: '127.0.0.1', port: at + 1, state: is('leaving', host) ? 'leaving' : 'live' }))
  }

  for (const name of names) {
    onEra(name, { kind: 'quorumChanged', hosts: names, nowMs })
    onPartitions(name, { kind: 'manifestApplied', partitionCount, nowMs })
  }
  return {
    apply (event: FleetEvent): void {
      if (event.kind !== 'restore') {
        until = new Map(until).set(`${event.kind}/${names[event.host] ?? ''}`, nowMs + event.forMs)
        return
      }
      copies = copies.filter(({ atMs }) => atMs <= nowMs - event.ageMs)
      tables = copies.at(-1)?.tables ?? new Map()
      revision = copies.at(-1)?.revision ?? 0
      era += 1
    },
    /** Lets one step of time pass. */
    pass (): void {
      nowMs += stepMs
      const due = calls.filter(({ atMs }) => atMs <= nowMs)
      calls = calls.filter(call => !due.includes(call))
      for (const { run } of due) run(nowMs)
      for (const [at, name] of names.entries()) {
        if (is('paused', name)) continue
        if ((nowMs + at * stepMs) % heartbeatMs === 0) exchange(name)
        renewContact(name)
        onEra(name, { kind: 'tick', nowMs })
        if (!is('storeLost', name)) onPartitions(name, { kind: 'hostsListed', hosts: listed(), nowMs })
        onPartitions(name, { kind: 'tick', nowMs })
      }
    },
    now: (): number => nowMs,
    /** The hosts that use a partition now. */
    users: (partition: number): readonly string[] => names.filter(name => {
      const { usableFromMs, confirmation } = get(name).limits
      return !is('paused', name) && nowMs >= (usableFromMs.get(partition) ?? Infinity) && nowMs < confirmation.contactUntilMs
    }),
    partitions: Array.from({ length: partitionCount }, (_, at) => at)
  }
}
