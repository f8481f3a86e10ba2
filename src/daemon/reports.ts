// Reports of this host to its operators: events, metrics, statistics of each
// client account, and the host report. One host of each failure domain, the report
// collector, collects the reports of the domain's hosts and writes them to the
// store.

import { randomUUID } from 'node:crypto'
import type { Settings } from '../config/index.js'
import type { CloseReason } from '../guard/index.js'
import { watchersOf } from '../members/index.js'
import { anonymousAccount, type DatabaseName, type DatabaseReport, type HostLoad, type HostName, type HostReport, type IncomingStatement, type Outcome, type ServerName } from '../model/index.js'
import type { PaceFall } from '../pace/index.js'
import { startTask, tickPort, type Port, type Task, type TimerService } from '../pipe/index.js'
import type { AccountStatsTable } from '../report/account-stats.js'
import { activityText, addedCounts, eventLog, processTotals, reportCollectorStep, initialReportCollector, combineMetrics, noMetrics, outcomeTag, type Activity, type ActivityCount, type EventFields, type EventLog, type EventName, type ProcessTotals, type ReportCollectorEffect, type ReportCollectorEvent, type ReportCollectorState, type Metrics } from '../report/index.js'
import { currentEra, updateObject, type ObjectStore } from '../ports/index.js'
import type { EjectionChange } from '../routing/index.js'
import type { ConfigurationTask } from './configuration-task.js'
import type { Databases } from './databases.js'
import type { GuardTask } from './guard-task.js'
import type { HostLoadTask } from './host-load-task.js'
import type { MembersTask } from './members-task.js'
import type { PeerLinks } from './peers.js'
import type { RoutingTable } from './routing.js'

/** Dependencies of the reports. */
export type ReportsSpec = {
  readonly settings: Settings
  readonly timers: TimerService
  readonly incarnation: string
  readonly random: () => number
  readonly activity: Activity
}

/** Components whose state goes into the reports. */
export type ReportedComponents = {
  readonly store: ObjectStore
  readonly guard: GuardTask
  readonly links: PeerLinks
  readonly members: MembersTask
  readonly configuration: ConfigurationTask
  readonly databases: Databases
  readonly routing: RoutingTable
  readonly hostLoad: HostLoadTask
  readonly stopping: () => boolean
}

/** The running reports. */
export type Reports = {
  readonly event: <N extends EventName>(name: N, fields: EventFields<N>) => void
  /** Records an unexpected error that a task survived. */
  readonly recordTaskFailure: (task: string, error: Error) => void
  /** Records that the guard has closed a connection. */
  readonly recordGuardClosed: (reason: CloseReason) => void
  readonly recordServed: (statement: IncomingStatement, outcome: Outcome, tookMs: number, generation: number) => void
  /** Counts a statement that was sent to the dispatcher of a server. */
  readonly recordSent: (server: ServerName, role: 'primary' | 'replica', domain: 'local' | 'other') => void
  readonly recordEjection: (database: DatabaseName, change: EjectionChange) => void
  /** Records a retry that the retry budget allowed or refused. */
  readonly recordRetry: (result: 'made' | 'refused') => void
  /** Records that the pace of a server has fallen. */
  readonly recordPaceFall: (server: ServerName, cause: PaceFall, slots: number) => void
  /**
   * Adds the report of another host of the failure domain; false where it was
   * not accepted.
   */
  readonly collectReport: (report: HostReport) => boolean
  /** Starts the periodic reports on the components. */
  readonly attach: (components: ReportedComponents) => void
  readonly stop: () => Promise<void>
}

/**
 * Kind of the collected reports in the store; the object's name is the failure
 * domain.
 */
export const reportKind = 'report'

const mailboxCapacity = 2048
/**
 * Delay after which the histograms' library is loaded; it takes long to load
 * and would slow down the start and the first statements after it.
 */
const accountStatsDelayMs = 5000
const confirmationCheckMs = 500
const sendTimeoutMs = 1000
const writeDeadlineMs = 3000

/** Reports of a failure domain, as they are stored. */
type StoredReports = { readonly hosts: readonly HostReport[] }

/**
 * Starts the reports; host reports start with `attach`.
 * @param spec - dependencies of the reports
 * @returns the running reports
 */
export function startReports (spec: ReportsSpec): Reports {
  const { settings, timers } = spec
  const log = eventLog({ host: settings.host.name, ...settings.log, writeLine: line => { process.stdout.write(line + '\n') }, bufferedBytes: () => process.stdout.writableLength, nowMs: timers.nowMs })
  let metrics = noMetrics
  void loadMetrics(settings, error => { log.write('taskFailed', { task: 'metrics', error: error.message }) }).then(loaded => { metrics = loaded })
  let accountStats: AccountStatsTable | undefined
  timers.after(accountStatsDelayMs, { send: () => { void import('../report/account-stats.js').then(loaded => { accountStats = new loaded.AccountStatsTable() }); return 'accepted' } })
  let collector: Task<ReportCollectorEvent> | undefined
  return {
    event: log.write,
    recordTaskFailure (task, error) {
      spec.activity.add('taskFailure', task)
      metrics.count('task.failures', { task })
      log.write('taskFailed', { task, error: error.message })
    },
    recordGuardClosed (reason) {
      metrics.count('guard.closed', { reason })
      log.write('connectionClosed', { reason })
    },
    recordServed (statement, outcome, tookMs, generation) {
      const { caller } = statement
      spec.activity.add('statement')
      const account = caller.kind === 'account' ? caller.account : anonymousAccount
      if (outcome.kind !== 'answered') log.write('statementNotServed', { ...notServedFields(statement, outcome), account, tookMs: Math.round(tookMs), generation })
      accountStats?.record(account, outcome, tookMs)
      countStatement(metrics, { account, route: statement.route }, outcome, tookMs)
      if (outcome.kind === 'answered' && statement.statementClass.kind === 'read') metrics.count('read.served_by', { role: outcome.servedBy })
    },
    recordSent (server, role, domain) { metrics.count('route.sent', { server, role, domain }) },
    recordEjection (database, change) { reportEjection(log, metrics, database, change) },
    recordRetry (result) {
      metrics.count('retry.count', { result })
    },
    recordPaceFall (server, cause, slots) {
      metrics.count('server.pace_falls', { server, cause })
      log.write('paceFell', { server, cause, slots })
    },
    collectReport (report) {
      return collector?.port.send({ kind: 'reported', report, nowMs: timers.nowMs() }) === 'accepted'
    },
    attach (components) {
      const started = startCollector(spec, components)
      collector = started
      let skipped = 0
      timers.every(settings.control.reportMs, {
        send: () => {
          recordLoad(metrics, components)
          skipped += 1
          if (skipped < components.hostLoad.factor()) return 'accepted'
          skipped = 0
          void sendReport(spec, components, accountStats, metrics, started.port)
          return 'accepted'
        }
      })
      let lastReading = readActivity(spec)
      timers.every(settings.control.reportMs, {
        send: () => {
          const reading = readActivity(spec)
          reportActivity(log, metrics, lastReading, reading)
          lastReading = reading
          return 'accepted'
        }
      })
      let wasConfirmed = true
      timers.every(confirmationCheckMs, {
        send: () => {
          const isConfirmed = components.configuration.canServeAuthenticated()
          if (isConfirmed !== wasConfirmed) log.write(isConfirmed ? 'confirmationRegained' : 'confirmationLost', { generation: generationOf(components) })
          wasConfirmed = isConfirmed
          return 'accepted'
        }
      })
    },
    async stop () {
      await collector?.stop()
      metrics.close()
    }
  }
}

function reportEjection (log: EventLog, metrics: Metrics, database: DatabaseName, change: EjectionChange): void {
  switch (change.kind) {
    case 'none': break
    case 'ejected': {
      const { server, failedFraction, pauseMs } = change
      log.write('serverEjected', { database, server, failedPercent: Math.round(failedFraction * 100), pauseMs })
      metrics.count('route.ejections', { database, server })
      break
    }
    case 'returned': {
      log.write('serverReturned', { database, server: change.server })
      break
    }
  }
}

const loadLevels: Readonly<Record<HostLoad, number>> = { normal: 0, busy: 1, overloaded: 2 }

function recordLoad (metrics: Metrics, { hostLoad, databases }: ReportedComponents): void {
  const { load, lagMs, cpuFraction, shedFraction } = hostLoad.state()
  const servers = databases.serverLoads()
  metrics.gauge('host.load', loadLevels[load])
  metrics.gauge('host.lag_ms', lagMs)
  metrics.gauge('host.cpu_fraction', cpuFraction)
  metrics.gauge('host.shed_fraction', shedFraction)
  metrics.gauge('scheduler.waiting', servers.reduce((sum, { waiting }) => sum + waiting, 0))
  metrics.gauge('scheduler.expected_wait_ms', Math.max(0, ...servers.map(({ expectedWaitMs }) => expectedWaitMs)))
}

type ActivityReading = { readonly atMs: number, readonly totals: ProcessTotals, readonly counts: readonly ActivityCount[] }

function readActivity ({ timers, activity }: ReportsSpec): ActivityReading {
  return { atMs: timers.nowMs(), totals: processTotals(), counts: activity.counts() }
}

function reportActivity (log: EventLog, metrics: Metrics, before: ActivityReading, now: ActivityReading): void {
  const cpuMs = now.totals.cpuMs - before.totals.cpuMs
  const wakes = now.totals.wakes - before.totals.wakes
  const added = addedCounts(now.counts, before.counts)
  metrics.count('process.cpu_ms', {}, cpuMs)
  metrics.count('process.wakes', {}, wakes)
  for (const { kind, name, count } of added) metrics.count('process.activity', { kind, name }, count)
  log.write('activity', { periodMs: Math.round(now.atMs - before.atMs), cpuMs: Math.round(cpuMs), wakes, counts: activityText(added) })
}

function notServedFields (statement: IncomingStatement, outcome: Exclude<Outcome, { readonly kind: 'answered' }>): Omit<EventFields<'statementNotServed'>, 'account' | 'tookMs' | 'generation'> {
  const fields = { request: statement.id ?? '', route: statement.route, statement: statement.statementClass.kind, outcome: outcome.kind }
  switch (outcome.kind) {
    case 'notRun':
    case 'unknown': return { ...fields, reason: outcome.reason, detail: outcome.detail }
    case 'failed': return { ...fields, reason: 'failed', detail: outcome.detail }
    case 'refused': return { ...fields, reason: String(outcome.errorNumber), detail: outcome.sqlState }
  }
}

function countStatement (metrics: Metrics, tags: { readonly account: string, readonly route: string }, outcome: Outcome, tookMs: number): void {
  metrics.count('statement.count', { ...tags, outcome: outcomeTag(outcome) })
  metrics.time('statement.ms', tookMs, tags)
}

// Loads only the configured metrics libraries, because each costs time at the start.
async function loadMetrics (settings: Settings, onFailure: (error: Error) => void): Promise<Metrics> {
  const { metrics, listen, host } = settings
  const statsd = metrics.kind === 'statsd' ? [(await import('../report/statsd.js')).statsdMetrics(metrics.address, host.name)] : []
  const text = listen.metrics === undefined ? [] : [(await import('../report/prometheus.js')).prometheusMetrics(listen.metrics, host.name, onFailure)]
  return combineMetrics([...statsd, ...text])
}

function startCollector (spec: ReportsSpec, components: ReportedComponents): Task<ReportCollectorEvent> {
  const { settings, timers } = spec
  const task = startTask<ReportCollectorState, ReportCollectorEvent, ReportCollectorEffect>({
    // Task of the report collector; the task name is fixed.
    name: 'gather',
    initial: initialReportCollector(settings.control.reportMs),
    capacity: mailboxCapacity,
    onError: () => {},
    step: reportCollectorStep,
    perform: (effect, port) => { void writeReports(spec, components, effect, port) }
  })
  timers.every(settings.control.reportMs, tickPort<ReportCollectorEvent>(task.port, nowMs => ({ kind: 'tick', nowMs })))
  return task
}

async function writeReports (spec: ReportsSpec, components: ReportedComponents, effect: ReportCollectorEffect, port: Port<ReportCollectorEvent>): Promise<void> {
  const { settings, timers, random } = spec
  const written = await updateObject<StoredReports>(components.store, { timers, random, newWriteId: randomUUID }, {
    kind: reportKind,
    name: settings.host.failureDomain,
    // The stored reports are replaced as a whole, so their value is not decoded.
    decode: () => ({ hosts: [] }),
    change: () => ({ hosts: effect.hosts }),
    deadlineMs: writeDeadlineMs
  }).then(() => effect.text, () => undefined)
  port.send({ kind: 'writeEnded', written, nowMs: timers.nowMs() })
}

async function sendReport (spec: ReportsSpec, components: ReportedComponents, accountStats: AccountStatsTable | undefined, metrics: Metrics, collectorPort: Port<ReportCollectorEvent>): Promise<void> {
  const report = reportOf(spec, components, accountStats)
  metrics.gauge('configuration.generation', report.generation)
  metrics.gauge('store.era', currentEra(components.store))
  metrics.gauge('guard.bytes', components.guard.totals().bytes)
  metrics.gauge('guard.kept_bytes', components.guard.kept.total)
  metrics.gauge('guard.connections', components.guard.totals().connections)
  metrics.gauge('members.live', components.members.view.get().live.length)
  const collector = collectorOf(spec.settings.host.failureDomain, components)
  if (collector === undefined || collector === spec.settings.host.name) {
    collectorPort.send({ kind: 'reported', report, nowMs: spec.timers.nowMs() })
    return
  }
  await components.links.call(collector, 'report', { report }, sendTimeoutMs).catch(() => {})
}

function collectorOf (failureDomain: string, components: ReportedComponents): HostName | undefined {
  const domainMembers = components.members.view.get().live.filter(member => member.failureDomain === failureDomain)
  return watchersOf(domainMembers, 1)[0]
}

function reportOf (spec: ReportsSpec, components: ReportedComponents, accountStats: AccountStatsTable | undefined): HostReport {
  const { host } = spec.settings
  return {
    host: host.name,
    failureDomain: host.failureDomain,
    incarnation: spec.incarnation,
    generation: generationOf(components),
    state: components.stopping() ? 'stopping' : 'serving',
    rejectedManifest: components.configuration.state.get().rejected,
    databases: components.databases.all().map(({ declaration, task }) => {
      const { primary, statuses } = task.view.get()
      const dispatchers = components.routing.dispatchers(declaration.name)
      const logEnd = primary.primary === undefined ? undefined : statuses.get(primary.primary)?.received
      const servers = declaration.servers.map(({ name, coldUntilMs = -Infinity }): DatabaseReport['servers'][number] => {
        const applied = statuses.get(name)?.applied
        const lagEntries = logEnd === undefined || applied === undefined ? undefined : Math.max(0, logEnd.index - applied.index)
        const coldLeftMs = coldUntilMs - spec.timers.nowMs()
        // `home`: wire name of the dispatcher.
        return { server: name, home: dispatchers.get(name), lagEntries, ...(coldLeftMs > 0 ? { coldLeftMs: Math.round(coldLeftMs) } : {}) }
      })
      return { database: declaration.name, primary: primary.primary, term: primary.term, servers }
    }),
    accounts: accountStats?.reports() ?? []
  }
}

function generationOf (components: ReportedComponents): number {
  return components.configuration.inForce()?.generation ?? 0
}
