// Entry point of `npm start`: starts a local set of processes, runs a small
// workload with ordinary MySQL clients and prints the results. Runs until a
// signal, or ends after the workload with `--once`.

import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { connectCaller, errorNumber, type LocalCaller } from './set/caller.js'
import { serverStatus } from './set/controls.js'
import { startLocalSet, type LocalProxy, type LocalSet } from './set/local-set.js'
import { builtProgram } from './set/process.js'

const account = 'atelier'
const route = 'ledger'
/** Maximum time until the fleet serves its first statement. */
const readyTimeoutMs = 30_000
const retryDelayMs = 200
const accessDenied = 1045
/** Maximum number of output lines per proxy that are printed with an error. */
const maxShownLines = 20

const { values } = parseArgs({ options: { once: { type: 'boolean', default: false } } })

async function main (): Promise<number> {
  console.log('starting a platform, a database of three servers and three proxies')
  // Signals are handled before the first process starts, so that each one is
  // stopped.
  const ended = waitForSignal()
  const set = await startLocalSet({ acceptManifest: false })
  try {
    await applyManifest(set)
    const first = await Promise.race([runWorkload(set), ended])
    if (values.once || first === 'signal') return 0
    printHowToConnect(set)
    await ended
    return 0
  } catch (error) {
    console.error(error)
    for (const proxy of set.proxies) console.error(`${proxy.name}:\n${proxy.process.output().slice(-maxShownLines).join('\n')}`)
    return 1
  } finally {
    await set.stop()
  }
}

async function waitForSignal (): Promise<'signal'> {
  return await new Promise(resolve => {
    process.once('SIGINT', () => { resolve('signal') })
    process.once('SIGTERM', () => { resolve('signal') })
  })
}

/** Applies the manifest as an operator does, with the command-line tool. */
async function applyManifest (set: LocalSet): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'limpetmoor-manifest-'))
  try {
    const file = join(folder, 'manifest.json')
    writeFileSync(file, JSON.stringify(set.manifest))
    const url = `http://${set.platformAddress.ip}:${set.platformAddress.port}`
    const child = spawn(process.execPath, [builtProgram('src/cli/main.js'), 'apply', '--platform', url, '--manifest', file], { stdio: 'inherit' })
    const [code] = await once(child, 'exit')
    if (code !== 0) throw new Error(`limpetmoor apply exited with code ${String(code)}`)
  } finally {
    rmSync(folder, { recursive: true, force: true })
  }
}

async function runWorkload (set: LocalSet): Promise<'done'> {
  const key = set.keys.get(account) ?? ''
  const [first, ...others] = set.proxies
  if (first === undefined) throw new Error('the local set has no proxy')
  const login = { account, key, route }
  const writer = await connectWhenReady(first, login)
  await writer.execute('CREATE TABLE IF NOT EXISTS job_cards (id BIGINT PRIMARY KEY, note VARCHAR(200))')
  await writer.execute('INSERT INTO job_cards VALUES (?, ?)', [1, 'folios 1 to 12 resewn'])
  console.log(`wrote a job card through ${first.name}`)
  const token = await writer.token()
  for (const proxy of others) {
    await expectNote(proxy, { ...login, token }, 1, 'with the session token')
    await expectNote(proxy, login, 1, 'in a new session')
  }
  for (const [index, proxy] of set.proxies.entries()) await writeAndRead(proxy, login, index + 2)
  const wrongKeyError = await errorNumber(connectCaller(first.mysql, { ...login, key: 'wrong' }))
  if (wrongKeyError !== accessDenied) throw new Error(`a wrong key was answered with ${wrongKeyError}`)
  console.log('a wrong key was rejected')
  for (const server of set.servers) {
    const status = await serverStatus(server.address)
    console.log(`${server.name}: ${status.role}, log up to term ${status.received.term} index ${status.received.index}`)
  }
  writer.close()
  return 'done'
}

type Login = Parameters<typeof connectCaller>[1]

/**
 * Retries until the proxy serves: the fleet first loads its configuration and
 * discovers its members.
 */
async function connectWhenReady (proxy: LocalProxy, login: Login): Promise<LocalCaller> {
  const deadlineMs = performance.now() + readyTimeoutMs
  for (;;) {
    try {
      const caller = await connectCaller(proxy.mysql, login)
      await caller.rows('SELECT 1')
      return caller
    } catch (error) {
      if (performance.now() > deadlineMs) throw error
      await new Promise(resolve => { setTimeout(resolve, retryDelayMs) })
    }
  }
}

async function expectNote (proxy: LocalProxy, login: Login, id: number, how: string): Promise<void> {
  const reader = await connectCaller(proxy.mysql, login)
  const rows = await reader.rows('SELECT note FROM job_cards WHERE id = ?', [id])
  reader.close()
  if (rows.length !== 1) throw new Error(`${proxy.name} did not return job card ${id} ${how}`)
  console.log(`read job card ${id} through ${proxy.name} ${how}`)
}

/**
 * One proxy is the dispatcher of the primary, so two of the three proxies
 * forward a write.
 */
async function writeAndRead (proxy: LocalProxy, login: Login, id: number): Promise<void> {
  const caller = await connectCaller(proxy.mysql, login)
  await caller.execute('BEGIN')
  await caller.execute('INSERT INTO job_cards VALUES (?, ?)', [id, `written through ${proxy.name}`])
  await caller.execute('COMMIT')
  caller.close()
  console.log(`committed job card ${id} through ${proxy.name}`)
  await expectNote(proxy, login, id, 'in a new session')
}

function printHowToConnect (set: LocalSet): void {
  console.log('connect with any MySQL client, for example:')
  for (const proxy of set.proxies) {
    console.log(`  mysql --host ${proxy.mysql.ip} --port ${proxy.mysql.port} --user ${account} --password=${set.keys.get(account) ?? ''} ${route}`)
  }
  console.log('stop with Ctrl-C')
}

process.exitCode = await main()
