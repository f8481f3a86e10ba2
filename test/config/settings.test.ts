import assert from 'node:assert/strict'
import { test } from 'node:test'
import { parseSettings, redirectedAddress, type Settings } from '../../src/config/index.js'

const minimalToml = `
[host]
name = "host-1"
failure_domain = "medina"
ip = "127.0.0.1"
mysql_port = 3306
peer_port = 7000
[platform]
url = "http://127.0.0.1:8080"
[database_login]
user = "proxy"
password = "secret-1"
`

function settingsOf (toml: string): Settings {
  const result = parseSettings(toml, 'host.toml')
  assert.equal(result.kind, 'valid', JSON.stringify(result))
  return result.kind === 'valid' ? result.settings : assert.fail()
}

function errorsOf (toml: string): readonly string[] {
  const result = parseSettings(toml, 'host.toml')
  return result.kind === 'invalid' ? result.errors : []
}

test('the sections host, platform and database_login suffice', () => {
  const settings = settingsOf(minimalToml)
  assert.deepEqual(settings.host, { name: 'host-1', failureDomain: 'medina', ip: '127.0.0.1', peerPort: 7000, cpuShare: 1, capacityCores: 1 })
  assert.deepEqual(settings.listen, { callers: { ip: '127.0.0.1', port: 3306 }, readiness: undefined, metrics: undefined })
  assert.deepEqual(settings.peers, { kind: 'plain' })
  assert.deepEqual(settings.metrics, { kind: 'off' })
  assert.equal(settings.limits.maxStatementBytes, 1_000_000)
})

test('all errors are returned at once with file, field, value found and values allowed', () => {
  assert.deepEqual(errorsOf(minimalToml
    .replace('mysql_port = 3306', 'mysql_port = "many"')
    .replace('ip = "127.0.0.1"', 'ip = "localhost"')
    .replace('peer_port = 7000\n', '') +
    '[metrics]\nstatsd_port = 8125\n[stop]\ngrace = 5\n[links]\n"a" = "127.0.0.1:1"\n'), [
    'host.toml: host.ip: found "localhost", allowed: an IP number',
    'host.toml: host.mysql_port: found "many", allowed: a whole number from 1 to 65535',
    'host.toml: host.peer_port: found nothing, allowed: a whole number from 1 to 65535',
    'host.toml: metrics.statsd_ip: found nothing, allowed: a value, or none for all of statsd_ip, statsd_port',
    'host.toml: stop.grace: found an unknown field, allowed: only documented fields',
    'host.toml: links.a: found "127.0.0.1:1", allowed: an address "ip:port"'
  ])
})

test('a TOML syntax error gives line and column and contains no secret', () => {
  const errors = errorsOf('[database_login]\npassword = "secret-1')
  assert.match(errors.join(), /^host.toml: line 2, column \d+: /)
  assert.doesNotMatch(errors.join(), /secret-1/)
})

test('an error in a secret field does not contain its value', () => {
  const errors = errorsOf(minimalToml.replace('"secret-1"', '987654'))
  assert.deepEqual(errors, ['host.toml: database_login.password: found a secret value, allowed: text'])
})

test('a link redirects its own address and no other', () => {
  const { links } = settingsOf(minimalToml + '[links]\n"10.0.0.1:3306" = "127.0.0.1:9001"\n')
  assert.deepEqual(redirectedAddress(links, { ip: '10.0.0.1', port: 3306 }), { ip: '127.0.0.1', port: 9001 })
  assert.deepEqual(redirectedAddress(links, { ip: '10.0.0.2', port: 3306 }), { ip: '10.0.0.2', port: 3306 })
})
