// Runs the command line as real processes, mainly with invalid input.

import assert from 'node:assert/strict'
import { test, type TestContext } from 'node:test'
import { digestOf } from '../../src/config/index.js'
import type { Manifest } from '../../src/model/index.js'
import { accountOf, keyOf, manifestOf } from '../config/fixtures.js'
import { writeTempFile, runCli } from '../support/cli.js'
import { platformFixture } from '../support/standins.js'

async function runApply (t: TestContext, url: string, manifest: Manifest, ...extra: readonly string[]) {
  return await runCli(['apply', '--platform', url, '--manifest', writeTempFile(t, 'manifest.json', manifest), ...extra])
}

test('the program and each command print help and version', async () => {
  for (const args of [['--help'], ...['proxy', 'check', 'apply', 'evacuate', 'status', 'keys'].map(command => [command, '--help'])]) {
    const { exitCode, out } = await runCli(args)
    assert.equal(exitCode, 0)
    assert.match(out, /^usage: limpetmoor /)
  }
  assert.match((await runCli(['status', '--version'])).out, /^\d+\.\d+\.\d+\n$/)
})

test('invalid usage exits with 2, reports the error and prints the help', async () => {
  const cases: ReadonlyArray<readonly [readonly string[], RegExp]> = [
    [[], /^no command\nusage: /],
    [['serve'], /^unknown command "serve"\nusage: /],
    [['check', '--manifesto', 'x'], /Unknown option '--manifesto'[^]*usage: limpetmoor check/],
    [['check'], /^check needs --settings FILE or --manifest FILE\n$/],
    [['proxy'], /^proxy needs --settings FILE\n$/],
    [['apply', '--manifest', 'x'], /^apply needs --platform URL and --manifest FILE\n$/],
    [['apply', '--platform', 'http://127.0.0.1:1', '--manifest', 'x', '--expect', 'new'], /^--expect: found "new", allowed: a generation\n$/],
    [['evacuate', '--platform', 'http://127.0.0.1:1'], /^evacuate needs one DOMAIN and --platform URL\n$/],
    [['status', '--platform', '127.0.0.1'], /^--platform: found "127.0.0.1", allowed: an http or https URL\n$/],
    [['keys', 'old'], /^keys needs one of: new, digest\n$/]
  ]
  for (const [args, expected] of cases) {
    const { exitCode, out, err } = await runCli(args)
    assert.deepEqual([exitCode, out], [2, ''], args.join(' '))
    assert.match(err, expected)
  }
})

test('check and proxy report all errors of invalid settings', async t => {
  const file = writeTempFile(t, 'host.toml', '[host]\nname = "a b"\nip = "127.0.0.1"\nmysql_port = 0\n[stop]\ngrace_ms = "long"\n')
  const errors = [
    'host.name: found "a b", allowed: a name of 1 to 64 letters, digits, ".", "_" or "-"',
    'host.failure_domain: found nothing, allowed: a name of 1 to 64 letters, digits, ".", "_" or "-"',
    'host.mysql_port: found 0, allowed: a whole number from 1 to 65535',
    'host.peer_port: found nothing, allowed: a whole number from 1 to 65535',
    'platform.url: found nothing, allowed: an http or https URL',
    'database_login.user: found nothing, allowed: a user name',
    'database_login.password: found nothing, allowed: text',
    'stop.grace_ms: found "long", allowed: a whole number from 0 to 86400000'
  ]
  for (const command of ['check', 'proxy']) {
    const { exitCode, err } = await runCli([command, '--settings', file])
    assert.deepEqual([exitCode, err.trim().split('\n')], [2, errors.map(error => `${file}: ${error}`)])
  }
})

test('check accepts valid files without a platform', async t => {
  const settings = writeTempFile(t, 'host.toml', `
    [host]\nname = "a"\nfailure_domain = "b"\nip = "127.0.0.1"\nmysql_port = 1\npeer_port = 2
    [platform]\nurl = "http://127.0.0.1:1"\n[database_login]\nuser = "u"\npassword = ""\n`)
  const manifest = writeTempFile(t, 'manifest.json', manifestOf())
  const { exitCode, out } = await runCli(['check', '--settings', settings, '--manifest', manifest])
  assert.deepEqual([exitCode, out], [0, `${settings}: valid\n${manifest}: valid\n`])
})

test('errors about missing files and malformed JSON do not quote the text, which may contain a key', async t => {
  const broken = writeTempFile(t, 'manifest.json', `{ "key": "${keyOf('a')}" `)
  const read = await runCli(['check', '--manifest', broken, '--settings', '/nowhere/host.toml'])
  assert.equal(read.exitCode, 2)
  assert.match(read.err, /host\.toml: can't be read \(ENOENT\)/)
  assert.match(read.err, /manifest\.json: whole text: found text that is not JSON/)
  assert.doesNotMatch(read.err, /lmk_/)
})

test('an invalid manifest is not applied', async t => {
  const { url, control } = await platformFixture(t)
  const { exitCode, err } = await runApply(t, url, manifestOf({ seats: 0 }))
  assert.equal(exitCode, 2)
  assert.match(err, /manifest\.json: seats: found 0, allowed: a whole number/)
  assert.equal(await control.read('manifest', 'current'), undefined)
})

test('apply increments the generation, rejects an outdated --expect and does not apply the same manifest again', async t => {
  const { url } = await platformFixture(t)
  const second = manifestOf({ accounts: [accountOf('bench', keyOf('c')), accountOf('desk', keyOf('b'))] })
  assert.equal((await runApply(t, url, manifestOf(), '--by', 'morning team')).out, 'accepted generation 1\n')
  assert.equal((await runApply(t, url, manifestOf())).out, 'accepted generation 1, which already holds this manifest\n')
  const late = await runApply(t, url, second, '--expect', '0')
  assert.deepEqual([late.exitCode, late.err], [1, 'not applied: generation 1 by morning team is in force, expected generation 0\n'])
  assert.equal((await runApply(t, url, second, '--expect', '1')).out, 'accepted generation 2\n')
})

test('concurrent operators each get their own generation, also if answers are lost', async t => {
  const { url, control } = await platformFixture(t)
  await control.faults({ dropAnswers: 3 })
  const runs = await Promise.all([1, 2, 3, 4].map(async seats => await runApply(t, url, manifestOf({ seats }), '--by', `operator ${seats}`)))
  const generations = runs.map(run => /^accepted generation (\d)\n/.exec(run.out)?.[1])
  assert.deepEqual([...generations].sort(), ['1', '2', '3', '4'], JSON.stringify(runs))
  assert.equal(((await control.read('manifest', 'current'))?.value as { readonly generation: number }).generation, 4)
})

test('if the platform is unresponsive, status fails and apply reports an unknown outcome', async t => {
  const { url, control } = await platformFixture(t)
  await control.faults({ down: true })
  const status = await runCli(['status', '--platform', url])
  assert.deepEqual([status.exitCode, status.out], [1, ''])
  assert.match(status.err, /the platform is not reachable/)
  const apply = await runApply(t, url, manifestOf())
  assert.equal(apply.exitCode, 1)
  assert.match(apply.err, /^outcome unknown: /)
})

test('status shows the accepted generation, hosts behind, hosts without a report, databases and accounts', async t => {
  const { url, control } = await platformFixture(t)
  await runApply(t, url, manifestOf(), '--by', 'morning team')
  const listed = ['host-1', 'host-2'].map(host => ({ host, failureDomain: 'medina', ip: '127.0.0.1', port: 1, state: 'live' as const }))
  await control.hosts(listed)
  const report = {
    host: 'host-1',
    failureDomain: 'medina',
    incarnation: 'a',
    generation: 0,
    state: 'serving',
    rejectedManifest: { generation: 1, errors: ['seats: found 0'] },
    databases: [{ database: 'orders', primary: 'orders-0', term: 3, servers: [{ server: 'orders-0', home: 'host-1', lagEntries: 0 }, { server: 'orders-1' }] }],
    accounts: [{ account: 'bench', admitted: 7, refusedByRate: 2, latency: { count: 7, p50Ms: 1, p99Ms: 4, maxMs: 5 } }]
  }
  await control.write('report', 'medina', { hosts: [report] })
  const { exitCode, out } = await runCli(['status', '--platform', url])
  assert.equal(exitCode, 0)
  assert.deepEqual(out.trim().split('\n').filter(line => line !== ''), [
    'accepted generation 1 by morning team',
    'not on it: host-1',
    'listed without a report: host-2',
    'host host-1 (medina): generation 0, serving',
    '  refused generation 1:',
    '    seats: found 0',
    'database orders: primary orders-0, term 3',
    '  server orders-0: home host-1, lag 0 entries',
    '  server orders-1: home none, lag unknown',
    'account bench: admitted 7, refused by rate 2',
    '  at host-1: admitted 7, refused 2, p50 1 ms, p99 4 ms, max 5 ms'
  ])
  const json = JSON.parse((await runCli(['status', '--platform', url, '--json'])).out) as { readonly hostsBehind: unknown }
  assert.deepEqual(json.hostsBehind, ['host-1'])
})

// Guards against an evacuation that is set or ended twice, and one that the status does not show.
test('evacuate sets and ends an evacuation, also twice, and status shows it', async t => {
  const { url, control } = await platformFixture(t)
  const evacuate = async (...args: readonly string[]): Promise<string> => (await runCli(['evacuate', 'medina', '--platform', url, ...args])).out
  assert.equal(await evacuate('--by', 'morning team'), 'the evacuation of medina is requested\n')
  assert.equal(await evacuate(), 'medina is being evacuated already\n')
  await control.write('evacuations', 'hlm', 7)
  assert.match((await runCli(['status', '--platform', url])).out, /^evacuated failure domains: hlm, medina by morning team$/m)
  assert.equal(await evacuate('--end'), 'the evacuation of medina is ended\n')
  assert.equal(await evacuate('--end'), 'medina is not being evacuated\n')
  assert.equal(await control.read('evacuations', 'medina'), undefined)
})

test('keys new prints a key and its digest, and keys digest accepts only a key', async () => {
  const generated = /^key (\S+)\ndigest (\S+)\n$/.exec((await runCli(['keys', 'new'])).out)
  assert.equal(digestOf(generated?.[1] ?? ''), generated?.[2])
  assert.equal((await runCli(['keys', 'digest'], `${generated?.[1] ?? ''}\n`)).out, `digest ${generated?.[2] ?? ''}\n`)
  const wrong = await runCli(['keys', 'digest'], 'secret')
  assert.equal(wrong.exitCode, 2)
  assert.doesNotMatch(wrong.err, /secret/)
})
