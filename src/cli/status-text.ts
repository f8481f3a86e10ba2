// Text format of the status: sections for the fleet, for each database and for
// each client account.

import type { AccountReport, DatabaseReport, HostReport } from '../model/index.js'
import type { EvacuatedDomain, FleetStatus } from './fleet-status.js'

/**
 * Formats the status as text.
 * @param status - status of the fleet
 * @returns the lines
 */
export function statusLines (status: FleetStatus): readonly string[] {
  return [
    acceptedLine(status),
    ...listLine('not on it', status.hostsBehind),
    ...listLine('listed without a report', status.hostsSilent),
    ...listLine('evacuated failure domains', status.evacuated.map(evacuatedText)),
    '',
    ...status.hosts.flatMap(hostLines),
    '',
    ...databaseNames(status.hosts).flatMap(database => databaseLines(status.hosts, database)),
    '',
    ...accountNames(status.hosts).flatMap(account => accountLines(status.hosts, account))
  ]
}

function acceptedLine (status: FleetStatus): string {
  if (status.acceptedGeneration === 0) return 'no manifest is accepted'
  return `accepted generation ${status.acceptedGeneration} by ${status.appliedBy ?? 'an unknown operator'}`
}

function listLine (title: string, hosts: readonly string[]): readonly string[] {
  return hosts.length === 0 ? [] : [`${title}: ${hosts.join(', ')}`]
}

function evacuatedText ({ domain, requestedBy }: EvacuatedDomain): string {
  return requestedBy === undefined ? domain : `${domain} by ${requestedBy}`
}

function hostLines (report: HostReport): readonly string[] {
  const rejected = report.rejectedManifest
  return [
    `host ${report.host} (${report.failureDomain}): generation ${report.generation}, ${report.state}`,
    ...rejected === undefined ? [] : [`  refused generation ${rejected.generation}:`, ...rejected.errors.map(error => `    ${error}`)]
  ]
}

function databaseNames (hosts: readonly HostReport[]): readonly string[] {
  return [...new Set(hosts.flatMap(report => report.databases.map(each => each.database)))].sort()
}

// Hosts report at different times, so the terms of their reports may differ; the
// report with the highest term is the latest.
function databaseLines (hosts: readonly HostReport[], database: string): readonly string[] {
  const views = hosts.flatMap(report => report.databases.filter(each => each.database === database))
  const latest = views.reduce((best, each) => each.term > best.term ? each : best)
  return [
    `database ${database}: primary ${latest.primary ?? 'unknown'}, term ${latest.term}`,
    ...latest.servers.map(server => serverLine(server, views))
  ]
}

// `home` in the output is the server's dispatcher. The lag is the largest that any
// host reports.
function serverLine (server: DatabaseReport['servers'][number], views: readonly DatabaseReport[]): string {
  const lags = views.flatMap(view => view.servers)
    .filter(each => each.server === server.server)
    .flatMap(each => each.lagEntries === undefined ? [] : [each.lagEntries])
  const lag = lags.length === 0 ? 'lag unknown' : `lag ${Math.max(...lags)} entries`
  const cold = server.coldLeftMs === undefined ? '' : ', cold'
  return `  server ${server.server}: home ${server.home ?? 'none'}, ${lag}${cold}`
}

function accountNames (hosts: readonly HostReport[]): readonly string[] {
  return [...new Set(hosts.flatMap(report => report.accounts.map(each => each.account)))].sort()
}

function accountLines (hosts: readonly HostReport[], account: string): readonly string[] {
  const rows = hosts.flatMap(report => report.accounts
    .filter(each => each.account === account)
    .map(each => ({ host: report.host, figures: each })))
  const admitted = sum(rows.map(row => row.figures.admitted))
  const refused = sum(rows.map(row => row.figures.refusedByRate))
  return [`account ${account}: admitted ${admitted}, refused by rate ${refused}`, ...rows.map(row => latencyLine(row.host, row.figures))]
}

// Percentiles of several hosts can't be merged, so each host has its own line.
function latencyLine (host: string, { admitted, refusedByRate, latency }: AccountReport): string {
  return `  at ${host}: admitted ${admitted}, refused ${refusedByRate}, p50 ${latency.p50Ms} ms, p99 ${latency.p99Ms} ms, max ${latency.maxMs} ms`
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, each) => total + each, 0)
}
