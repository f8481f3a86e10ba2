// Links between proxies under mutual TLS.

import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { test } from 'node:test'
import { sharedCertificate } from '../support/certificates.js'
import { openCaller, startServingSet, proxyAt } from '../support/local-set.js'

type Certificates = { readonly cert_pem: string, readonly key_pem: string, readonly ca_pem: string }

/** One certificate that all hosts of a set share and trust, as settings. */
async function sharedCertificates (): Promise<Certificates> {
  const { certPem, keyPem } = await sharedCertificate()
  return { cert_pem: certPem, key_pem: keyPem, ca_pem: certPem }
}

/**
 * Answer that a plain TCP client receives to a call; empty where the link was
 * closed.
 */
async function plainAnswer (ip: string, port: number): Promise<string> {
  return await new Promise(resolve => {
    const socket = connect(port, ip)
    let received = ''
    socket.on('data', chunk => { received += chunk.toString('latin1') })
    socket.on('error', () => {})
    socket.on('close', () => { resolve(received) })
    socket.write(JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'listHosts', params: {} }) + '\n')
  })
}

test('proxies call each other under mutual TLS and answer no client without a certificate', async t => {
  const set = await startServingSet(t, { settings: { peers: { seeds: [], ...await sharedCertificates() } } })
  for (const index of [0, 1, 2]) {
    const caller = await openCaller(t, set, proxyAt(set, index))
    assert.equal(await caller.execute(`INSERT INTO tills VALUES (${index + 1}, 'x', 1)`), 1)
  }
  const { ip, port } = proxyAt(set, 0).peer
  assert.ok(!(await plainAnswer(ip, port)).includes('"result"'))
})
