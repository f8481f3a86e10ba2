// What this host tells its operators: events, metrics, figures of each client
// account, and its report. The gatherer of the failure domain collects the
// reports of its hosts and writes them to the store.

import { randomUUID } from 'node:crypto'
import type { Settings } from '../config/index.js'
import { watchersOf } from '../members/index.js'
import { anonymousAccount, type DatabaseReport, type HostName, type HostReport, type IncomingStatement, type Outcome } from '../model/index.js'
import { startTask, tickPort, type Port, type Task, type TimerService } from '../pipe/index.js'
import type { AccountFigureTable } from '../report/accounts.js'
import { eventLog, gatherStep, initialGather, metricsToAll, noMetrics, outcomeTag, type EventFields, type EventName, type GatherEffect, type GatherEvent, type GatherState, type Metrics } from '../report/index.js'
import { updateObject, type ObjectStore } from '../ports/index.js'
import type { ConfigurationTask } from './configuration-task.js'
import type { Databases } from './databases.js'
import type { MembersTask } from './members-task.js'
import type { PeerLinks } from './peers.js'
import type { RoutingTable } from './routing.js'

/** What the reports are made of. */
export type ReportsSpec = {
  readonly settings: Settings
  readonly timers: TimerService
  readonly incarnation: string
  readonly random: () => number
}

/** The parts that are reported on. */
export type ReportedComponents = {
  readonly store: ObjectStore
  readonly links: PeerLinks
  readonly members: MembersTask
  readonly configuration: ConfigurationTask
  readonly databases: Databases
  readonly routing: RoutingTable
  readonly stopping: () => boolean
}

/** The running reports. */
export type Reports = {
  readonly event: <N extends EventName>(name: N, fields: EventFields<N>) => void
  readonly recordServed: (statement: IncomingStatement, outcome: Outcome, tookMs: number, generation: number) => void
  /** Takes the report of another host of the failure domain. */
  readonly collectReport: (report: HostReport) => boolean
  /** Begins to report on the parts. */
  readonly attach: (parts: ReportedComponents) => void
  readonly stop: () => Promise<void>
}

/** Kind of the gathered reports in the store; the name is the failure domain. */
export const reportKind = 'report'

const mailboxCapacity = 2048
/** The histograms' library takes long to load, so a start does without them at first. */
const figuresAfterMs = 1500
const confirmationCheckMs = 500
const sendTimeoutMs = 1000
const writeDeadlineMs = 3000

/** Reports of a failure domain, as they stand in the store. */
type StoredReports = { readonly hosts: readonly HostReport[] }

/**
 * Starts the reports; nothing is reported on before `attach`.
 * @param spec - what they are made of
 * @returns the running reports
 */
export function startReports (spec: ReportsSpec): Reports {
  const { settings, timers } = spec
  const log = eventLog({ host: settings.host.name, ...settings.log, writeLine: line => { process.stdout.write(line + '\n') }, waitingBytes: () => process.stdout.writableLength, nowMs: timers.nowMs })
  let metrics = noMetrics
  void loadMetrics(settings, error => { log.write('taskFailed', { task: 'metrics', error: error.message }) }).then(loaded => { metrics = loaded })
  let figures: AccountFigureTable | undefined
  timers.after(figuresAfterMs, { send: () => { void import('../report/accounts.js').then(loaded => { figures = new loaded.AccountFigureTable() }); return 'accepted' } })
  let gather: Task<GatherEvent> | undefined
  return {
    event: log.write,
    recordServed (statement, outcome, tookMs, generation) {
      const { caller } = statement
      const account = caller.kind === 'account' ? caller.account : anonymousAccount
      if (outcome.kind !== 'answered') log.write('statementNotServed', { ...notServed(statement, outcome), account, tookMs: Math.round(tookMs), generation })
      figures?.note(account, outcome, tookMs)
      countServed(metrics, { account, route: statement.route }, outcome, tookMs)
      if (outcome.kind === 'answered' && statement.statementClass.kind === 'read') metrics.count('read.served_by', { role: outcome.servedBy })
    },
    collectReport (report) {
      return gather?.port.send({ kind: 'reported', report, nowMs: timers.nowMs() }) === 'accepted'
    },
    attach (parts) {
      const started = startGather(spec, parts)
      gather = started
      timers.every(settings.control.reportMs, { send: () => { void sendReport(spec, parts, figures, metrics, started.port); return 'accepted' } })
      let confirmed = true
      timers.every(confirmationCheckMs, {
        send: () => {
          const now = parts.configuration.mayServeKeyed()
          if (now !== confirmed) log.write(now ? 'confirmationRegained' : 'confirmationLost', { generation: generationOf(parts) })
          confirmed = now
          return 'accepted'
        }
      })
    },
    async stop () {
      await gather?.stop()
      metrics.close()
    }
  }
}

function notServed (statement: IncomingStatement, outcome: Exclude<Outcome, { readonly kind: 'answered' }>): Omit<EventFields<'statementNotServed'>, 'account' | 'tookMs' | 'generation'> {
  const told = { request: statement.id ?? '', route: statement.route, statement: statement.statementClass.kind, outcome: outcome.kind }
  switch (outcome.kind) {
    case 'notRun':
    case 'unknown': return { ...told, reason: outcome.reason, detail: outcome.detail }
    case 'failed': return { ...told, reason: 'failed', detail: outcome.detail }
    case 'refused': return { ...told, reason: String(outcome.errorNumber), detail: outcome.sqlState }
  }
}

function countServed (metrics: Metrics, tags: { readonly account: string, readonly route: string }, outcome: Outcome, tookMs: number): void {
  metrics.count('statement.count', { ...tags, outcome: outcomeTag(outcome) })
  metrics.time('statement.ms', tookMs, tags)
}

// Loaded only where they are wanted: each library costs time at the start.
async function loadMetrics (settings: Settings, onFailure: (error: Error) => void): Promise<Metrics> {
  const { metrics, listen, host } = settings
  const statsd = metrics.kind === 'statsd' ? [(await import('../report/statsd.js')).statsdMetrics(metrics.address, host.name)] : []
  const text = listen.metrics === undefined ? [] : [(await import('../report/text-metrics.js')).textMetrics(listen.metrics, host.name, onFailure)]
  return metricsToAll([...statsd, ...text])
}

function startGather (spec: ReportsSpec, parts: ReportedComponents): Task<GatherEvent> {
  const { settings, timers } = spec
  const task = startTask<GatherState, GatherEvent, GatherEffect>({
    name: 'gather',
    initial: initialGather(settings.control.reportMs),
    capacity: mailboxCapacity,
    onError: () => {},
    step: gatherStep,
    perform: (effect, port) => { void writeReports(spec, parts, effect, port) }
  })
  timers.every(settings.control.reportMs, tickPort<GatherEvent>(task.port, nowMs => ({ kind: 'tick', nowMs })))
  return task
}

async function writeReports (spec: ReportsSpec, parts: ReportedComponents, effect: GatherEffect, port: Port<GatherEvent>): Promise<void> {
  const { settings, timers, random } = spec
  const written = await updateObject<StoredReports>(parts.store, { timers, random, newWriteId: randomUUID }, {
    kind: reportKind,
    name: settings.host.failureDomain,
    // Whatever stands there is replaced whole.
    decode: () => ({ hosts: [] }),
    change: () => ({ hosts: effect.hosts }),
    deadlineMs: writeDeadlineMs
  }).then(() => effect.text, () => undefined)
  port.send({ kind: 'writeEnded', written, nowMs: timers.nowMs() })
}

async function sendReport (spec: ReportsSpec, parts: ReportedComponents, figures: AccountFigureTable | undefined, metrics: Metrics, gather: Port<GatherEvent>): Promise<void> {
  const report = reportOf(spec, parts, figures)
  metrics.gauge('configuration.generation', report.generation)
  metrics.gauge('members.live', parts.members.view.get().live.length)
  const gatherer = gathererOf(spec.settings.host.failureDomain, parts)
  if (gatherer === undefined || gatherer === spec.settings.host.name) {
    gather.send({ kind: 'reported', report, nowMs: spec.timers.nowMs() })
    return
  }
  await parts.links.call(gatherer, 'report', { report }, sendTimeoutMs).catch(() => {})
}

function gathererOf (failureDomain: string, parts: ReportedComponents): HostName | undefined {
  const near = parts.members.view.get().live.filter(member => member.failureDomain === failureDomain)
  return watchersOf(near, 1)[0]
}

function reportOf (spec: ReportsSpec, parts: ReportedComponents, figures: AccountFigureTable | undefined): HostReport {
  const { host } = spec.settings
  return {
    host: host.name,
    failureDomain: host.failureDomain,
    incarnation: spec.incarnation,
    generation: generationOf(parts),
    state: parts.stopping() ? 'stopping' : 'serving',
    rejectedManifest: parts.configuration.state.get().rejected,
    databases: parts.databases.all().map(({ declaration, task }) => {
      const { primary, statuses } = task.view.get()
      const homes = parts.routing.dispatchers(declaration.name)
      const end = primary.primary === undefined ? undefined : statuses.get(primary.primary)?.received
      const servers = declaration.servers.map(({ name }): DatabaseReport['servers'][number] => {
        const applied = statuses.get(name)?.applied
        const lagEntries = end === undefined || applied === undefined ? undefined : Math.max(0, end.index - applied.index)
        return { server: name, home: homes.get(name), lagEntries }
      })
      return { database: declaration.name, primary: primary.primary, term: primary.term, servers }
    }),
    accounts: figures?.reports() ?? []
  }
}

function generationOf (parts: ReportedComponents): number {
  return parts.configuration.inForce()?.generation ?? 0
}
