// Reads the deployments to be measured from `bench/settings`.

import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { parse } from 'smol-toml'
import * as z from 'zod'

const accountSchema = z.strictObject({
  name: z.string(),
  rate_per_s: z.number().positive(),
  burst: z.number().positive(),
  weight: z.number().positive()
})

const deploymentSchema = z.strictObject({
  name: z.string(),
  hosts: z.int().positive(),
  failure_domains: z.array(z.string()),
  databases: z.array(z.string()),
  slots: z.int().positive(),
  max_connections: z.int().positive(),
  connect_delay_ms: z.number().min(0),
  domain_delay_ms: z.number().min(0),
  client_delay_ms: z.number().min(0),
  replica_lag_ms: z.number().min(0),
  service_ms: z.number().min(0),
  noisy_account: z.string(),
  accounts: z.array(accountSchema)
})

/** One client account of a deployment. */
export type DeploymentAccount = {
  readonly name: string
  readonly ratePerS: number
  readonly burst: number
  readonly weight: number
}

/** A deployment to be measured. */
export type Deployment = {
  readonly name: string
  readonly hosts: number
  readonly failureDomains: readonly string[]
  readonly databases: readonly string[]
  readonly slots: number
  readonly maxConnections: number
  readonly connectDelayMs: number
  /** One-way network delay between failure domains. */
  readonly domainDelayMs: number
  /** One-way network delay between callers and proxies. */
  readonly clientDelayMs: number
  readonly replicaLagMs: number
  readonly serviceMs: number
  readonly noisyAccount: string
  readonly accounts: readonly DeploymentAccount[]
}

/**
 * Reads a deployment.
 * @param name - file name in `bench/settings`, without extension
 * @returns the deployment; throws an error if the file is missing or malformed
 */
export function readDeployment (name: string): Deployment {
  if (!/^[a-z]+$/.test(name)) throw new RangeError(`invalid deployment name: ${name}`)
  const file = fileURLToPath(new URL(`../../bench/settings/${name}.toml`, import.meta.url))
  const read = deploymentSchema.parse(parse(readFileSync(file, 'utf8')))
  return {
    name: read.name,
    hosts: read.hosts,
    failureDomains: read.failure_domains,
    databases: read.databases,
    slots: read.slots,
    maxConnections: read.max_connections,
    connectDelayMs: read.connect_delay_ms,
    domainDelayMs: read.domain_delay_ms,
    clientDelayMs: read.client_delay_ms,
    replicaLagMs: read.replica_lag_ms,
    serviceMs: read.service_ms,
    noisyAccount: read.noisy_account,
    accounts: read.accounts.map(({ rate_per_s: ratePerS, ...rest }) => ({ ...rest, ratePerS }))
  }
}
