// Settings of one host, in TOML. A host has no persistent disk state, so the
// settings contain everything that it needs to start, including certificates.
// Validation returns all errors at once, each with its path.

import { parse, TomlError } from 'smol-toml'
import * as z from 'zod'
import type { Address, FailureDomain, HostName } from '../model/index.js'
import { camelFields } from './camel.js'
import { fieldErrors, type FieldError } from './field-error.js'
import { addressText, amount, choice, duration, ipText, name, portNumber, positiveNumber, text, wholeNumber } from './fields.js'

/** Identity of the host, and the address on which it listens for peers. */
export type HostSettings = {
  readonly name: HostName
  readonly failureDomain: FailureDomain
  readonly ip: string
  readonly peerPort: number
  /** Processors that the host may use. */
  readonly cpuShare: number
  /** Processor capacity in cores, by which tasks for other hosts are assigned. */
  readonly capacityCores: number
}

/** Addresses on which the process listens for clients other than its peers. */
export type ListenSettings = {
  readonly callers: Address
  /**
   * Address of the readiness check, which reports whether this host accepts new
   * callers; undefined: not served.
   */
  readonly readiness: Address | undefined
  /** Address of the metrics in text format; undefined: not served. */
  readonly metrics: Address | undefined
}

/** Address and timeouts of the platform's object API. */
export type PlatformSettings = {
  readonly url: string
  /** URL for promotion orders, on a platform that accepts them. */
  readonly promotionsUrl?: string | undefined
  readonly callTimeoutMs: number
  /** Maximum duration of one watch call. */
  readonly watchMs: number
  /** Mean period of full listings, which supplement the watch. */
  readonly relistMs: number
}

/** Credentials with which the proxy logs in to database servers. */
export type DatabaseLogin = {
  readonly user: string
  readonly password: string
}

/** Transport between proxies. */
export type PeerTransport =
  | { readonly kind: 'plain' }
  | { readonly kind: 'mutualTls', readonly certPem: string, readonly keyPem: string, readonly caPem: string }

/** Limits of the request pipe. */
export type RequestLimits = {
  readonly maxStatementBytes: number
  readonly maxConnections: number
  /** Maximum number of queued statements per server. */
  readonly queueLength: number
  /** Longest time for which the statements of a class wait at a server without one being started. */
  readonly classWaitMs: number
  /** Retries that each first attempt of a statement allows this host. */
  readonly retryFraction: number
  /** Retries a second that this host may make in any case. */
  readonly retryMinPerS: number
  readonly defaultDeadlineMs: number
  /** Longest wait until a majority has received a write. */
  readonly confirmTimeoutMs: number
  readonly connectTimeoutMs: number
  /** Memory that the process may use; undefined: what the machine grants. */
  readonly memoryMb?: number | undefined
  /** Descriptors that the process may open; undefined: what the system states. */
  readonly maxDescriptors?: number | undefined
  /** Longest time from the connection of a caller to its login. */
  readonly loginTimeoutMs: number
  /** Longest time from the first byte of a message to its last. */
  readonly messageTimeoutMs: number
  /** Longest time in which a caller has to read an answer. */
  readonly unreadTimeoutMs: number
}

/** Destination of metrics. */
export type MetricsSettings =
  | { readonly kind: 'off' }
  | { readonly kind: 'statsd', readonly address: Address }

/** Periods and timeouts of the control pipes. */
export type ControlSettings = {
  readonly heartbeatMs: number
  readonly probeMs: number
  readonly probeTimeoutMs: number
  /** Delay before each further dispatcher in rank order starts a promotion. */
  readonly promotionDelayMs: number
  /**
   * Longest age of a configuration's confirmation; beyond it, authenticated
   * requests are refused.
   */
  readonly confirmWithinMs: number
  readonly pullMs: number
  readonly reportMs: number
  /** Number of hosts in each failure domain that watch the store. */
  readonly watchersPerDomain: number
  /** Time for which a server gets new statements after it announced that it leaves. */
  readonly drainMs: number
  /**
   * Time from the request to evacuate a failure domain until its servers get nothing
   * new; undefined: no requests are read.
   */
  readonly evacuateMs?: number | undefined
  /** Factor by which the rate of a cold server may be exceeded; undefined: cold servers have no bound. */
  readonly coldExcess?: number | undefined
  /** Statements per second that a cold server may get beyond that. */
  readonly coldSlack?: number | undefined
  /** Whether the number of statements that a server is given at once follows its answers. */
  readonly serverPace: 'on' | 'off'
}

/** Log level and format. */
export type LogSettings = {
  readonly level: 'debug' | 'info' | 'warn' | 'error'
  readonly format: 'json' | 'text'
}

/** Settings of one host. */
export type Settings = {
  readonly host: HostSettings
  readonly listen: ListenSettings
  readonly platform: PlatformSettings
  readonly databaseLogin: DatabaseLogin
  readonly peers: PeerTransport
  /** Peers to query for the host list where the platform does not provide one. */
  readonly seeds: readonly Address[]
  readonly limits: RequestLimits
  readonly control: ControlSettings
  readonly metrics: MetricsSettings
  readonly stop: { readonly graceMs: number }
  readonly log: LogSettings
  /** Redirections of outgoing connections: `ip:port` to `ip:port`. */
  readonly links: Readonly<Record<string, string>>
}

/** Result of parsing a settings text. */
export type SettingsResult =
  | { readonly kind: 'valid', readonly settings: Settings }
  | { readonly kind: 'invalid', readonly errors: readonly string[] }

const dayMs = 86_400_000
const dayS = 86_400
const graceAllowed = `a number from 0 to ${dayS}`
const maxStatementBytes = 16_000_000
const maxCores = 1024
const maxDescriptorCount = 10_000_000
const maxMemoryMb = 1_048_576
const maxColdValue = 1_000_000

const tlsFields = {
  cert_pem: text('a certificate in PEM').optional(),
  key_pem: text('a private key in PEM').optional(),
  ca_pem: text('a certificate in PEM').optional()
}

const statsdFields = {
  statsd_ip: ipText().optional(),
  statsd_port: portNumber().optional()
}

/** Schemas of the sections of the TOML text, documented in `docs/CONFIGURATION.md`. */
export const settingsSections = {
  host: z.strictObject({
    name: name(),
    failure_domain: name(),
    ip: ipText(),
    mysql_port: portNumber().optional(),
    peer_port: portNumber(),
    cpu_share: positiveNumber(maxCores).default(1),
    cpu_speed: positiveNumber(maxCores).default(1)
  }),
  listen: z.strictObject({
    callers: addressText().optional(),
    readiness: addressText().optional(),
    metrics: addressText().optional()
  }),
  platform: z.strictObject({
    url: z.url({ protocol: /^https?$/, error: 'an http or https URL' }),
    promotions_url: z.url({ protocol: /^https?$/, error: 'an http or https URL' }).optional(),
    call_timeout_ms: wholeNumber(10, dayMs).default(2_000),
    watch_ms: wholeNumber(100, dayMs).default(20_000),
    relist_ms: wholeNumber(100, dayMs).default(5_000)
  }),
  database_login: z.strictObject({
    user: text('a user name'),
    password: z.string({ error: 'text' })
  }),
  peers: z.strictObject({ ...tlsFields, seeds: z.array(addressText(), { error: 'a list of addresses "ip:port"' }).default([]) }).superRefine(allOrNone(tlsFields)),
  limits: z.strictObject({
    max_statement_bytes: wholeNumber(1, maxStatementBytes).default(1_000_000),
    max_connections: wholeNumber(1, 1_000_000).default(10_000),
    queue_length: wholeNumber(1, 1_000_000).default(1_000),
    class_wait_ms: wholeNumber(1, dayMs).default(500),
    retry_fraction: positiveNumber(1).default(0.2),
    retry_min_per_s: positiveNumber(1_000_000).default(10),
    default_deadline_ms: wholeNumber(1, dayMs).default(10_000),
    confirm_timeout_ms: wholeNumber(1, dayMs).default(5_000),
    connect_timeout_ms: wholeNumber(1, dayMs).default(1_000),
    memory_mb: wholeNumber(16, maxMemoryMb).optional(),
    max_descriptors: wholeNumber(16, maxDescriptorCount).optional(),
    login_timeout_ms: wholeNumber(100, dayMs).default(10_000),
    message_timeout_ms: wholeNumber(100, dayMs).default(30_000),
    unread_timeout_ms: wholeNumber(100, dayMs).default(30_000)
  }),
  control: z.strictObject({
    heartbeat_ms: wholeNumber(10, dayMs).default(500),
    probe_ms: wholeNumber(10, dayMs).default(150),
    probe_timeout_ms: wholeNumber(10, dayMs).default(250),
    promotion_delay_ms: wholeNumber(10, dayMs).default(300),
    confirm_within_ms: wholeNumber(10, dayMs).default(4_000),
    pull_ms: wholeNumber(10, dayMs).default(1_000),
    report_ms: wholeNumber(10, dayMs).default(5_000),
    watchers_per_domain: wholeNumber(1, 100).default(2),
    drain_ms: duration(100, dayMs).default(7_000),
    evacuate_ms: duration(1_000, dayMs).optional(),
    cold_excess: amount(maxColdValue).optional(),
    cold_slack: amount(maxColdValue).optional(),
    server_pace: choice(['on', 'off']).default('off')
  }),
  metrics: z.strictObject(statsdFields).superRefine(allOrNone(statsdFields)),
  stop: z.strictObject({
    grace_ms: wholeNumber(0, dayMs).default(30_000),
    grace_s: z.number({ error: graceAllowed }).min(0, graceAllowed).max(dayS, graceAllowed).optional()
  }),
  log: z.strictObject({
    level: choice(['debug', 'info', 'warn', 'error']).default('info'),
    format: choice(['json', 'text']).default('json')
  }),
  links: z.record(addressText(), addressText())
}

const settingsSchema = z.strictObject(settingsSections).superRefine((sections, context) => {
  if (sections.listen.callers !== undefined || sections.host.mysql_port !== undefined) return
  context.addIssue({ code: 'custom', path: ['host', 'mysql_port'], message: 'a port number from 1 to 65535, or listen.callers' })
})

/** Fields whose value must not appear in error messages. */
const secretFields = ['password', 'key_pem']

/**
 * Parses and validates the settings of one host.
 * @param toml - the TOML text
 * @param fileName - the file name for error messages
 * @returns the settings, or all errors, each with file, field, the value found
 *   and the values allowed
 */
export function parseSettings (toml: string, fileName: string): SettingsResult {
  const read = readToml(toml)
  if (read.kind === 'malformed') return { kind: 'invalid', errors: [`${fileName}: ${read.error}`] }
  const filled = { ...emptySections(), ...read.value }
  const checked = settingsSchema.safeParse(filled, { reportInput: true })
  if (!checked.success) {
    const errors = fieldErrors(checked.error, filled, secretFields)
    return { kind: 'invalid', errors: errors.map(error => errorLine(fileName, error)) }
  }
  return { kind: 'valid', settings: settingsOf(checked.data) }
}

/**
 * Applies the redirections of the settings to an address.
 * @param links - the redirections
 * @param address - the original address
 * @returns the address to connect to
 */
export function redirectedAddress (links: Settings['links'], address: Address): Address {
  const target = links[`${address.ip}:${address.port}`]
  return target === undefined ? address : parseAddress(target)
}

type TomlResult =
  | { readonly kind: 'read', readonly value: Readonly<Record<string, unknown>> }
  | { readonly kind: 'malformed', readonly error: string }

function readToml (toml: string): TomlResult {
  try {
    return { kind: 'read', value: parse(toml) }
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    // The library's message quotes the line, which may contain a secret, so
    // only its first line is used.
    const reason = error.message.split('\n')[0] ?? 'not TOML'
    return { kind: 'malformed', error: `line ${error.line}, column ${error.column}: ${reason}` }
  }
}

function emptySections (): Readonly<Record<string, object>> {
  return Object.fromEntries(Object.keys(settingsSections).map(section => [section, {}]))
}

function settingsOf (sections: z.infer<typeof settingsSchema>): Settings {
  return {
    host: hostOf(sections.host),
    listen: listenOf(sections),
    platform: camelFields(sections.platform),
    databaseLogin: sections.database_login,
    peers: transportOf(sections.peers),
    seeds: sections.peers.seeds.map(parseAddress),
    limits: camelFields(sections.limits),
    control: camelFields(sections.control),
    metrics: metricsOf(sections.metrics),
    stop: stopOf(sections.stop),
    log: sections.log,
    links: sections.links
  }
}

function hostOf (host: z.infer<typeof settingsSections.host>): HostSettings {
  return { name: host.name, failureDomain: host.failure_domain, ip: host.ip, peerPort: host.peer_port, cpuShare: host.cpu_share, capacityCores: host.cpu_share * host.cpu_speed }
}

function listenOf ({ host, listen }: z.infer<typeof settingsSchema>): ListenSettings {
  const address = (text: string | undefined): Address | undefined => text === undefined ? undefined : parseAddress(text)
  return {
    callers: address(listen.callers) ?? { ip: host.ip, port: host.mysql_port ?? 0 },
    readiness: address(listen.readiness),
    metrics: address(listen.metrics)
  }
}

function transportOf (peers: z.infer<typeof settingsSections.peers>): PeerTransport {
  const { cert_pem: certPem, key_pem: keyPem, ca_pem: caPem } = peers
  if (certPem === undefined || keyPem === undefined || caPem === undefined) return { kind: 'plain' }
  return { kind: 'mutualTls', certPem, keyPem, caPem }
}

function stopOf ({ grace_ms: graceMs, grace_s: graceS }: z.infer<typeof settingsSections.stop>): Settings['stop'] {
  return { graceMs: graceS === undefined ? graceMs : Math.floor(graceS * 1000) }
}

function metricsOf (metrics: z.infer<typeof settingsSections.metrics>): MetricsSettings {
  const { statsd_ip: ip, statsd_port: port } = metrics
  if (ip === undefined || port === undefined) return { kind: 'off' }
  return { kind: 'statsd', address: { ip, port } }
}

type SectionCheck = (section: Readonly<Record<string, unknown>>, context: z.core.$RefinementCtx) => void

function allOrNone (fields: object): SectionCheck {
  const names = Object.keys(fields)
  return (section, context) => {
    const missing = names.filter(field => section[field] === undefined)
    if (missing.length === names.length) return
    for (const field of missing) {
      context.addIssue({ code: 'custom', path: [field], message: `a value, or none for all of ${names.join(', ')}` })
    }
  }
}

function parseAddress (address: string): Address {
  const colon = address.lastIndexOf(':')
  return { ip: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}

function errorLine (fileName: string, error: FieldError): string {
  return `${fileName}: ${error.path}: found ${error.found}, allowed: ${error.allowed}`
}
