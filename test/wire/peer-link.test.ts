// Malformed messages between proxies: each is rejected, and nothing else suffers.

import assert from 'node:assert/strict'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import fc from 'fast-check'
import type { MemberState, PeerMethod } from '../../src/model/index.js'
import { systemTimers } from '../../src/pipe/index.js'
import type { WireError } from '../../src/ports/index.js'
import { listenForPeers, peerClient, type PeerClient, type PeerHandlers } from '../../src/wire/peer-link.js'
import { decodeParams, decodeResult } from '../../src/wire/peer-schema.js'
import { sharedCertificate } from '../support/certificates.js'
import { until } from '../support/until.js'

const state: MemberState = { host: 'entry-1', failureDomain: 'medina', incarnation: 'a1', state: 'serving', generation: 3, storeConfirmedAgoMs: undefined }
const methods: readonly PeerMethod[] = ['execute', 'heartbeat', 'pullConfiguration', 'offerConfiguration', 'borrow', 'resetLoans', 'listHosts', 'observe', 'suspect', 'primaryChanged', 'listServers', 'report']
const timeoutMs = 2000

function deepText (depth: number): string {
  return '['.repeat(depth) + ']'.repeat(depth)
}

/** Handlers of which only `heartbeat` and `suspect` answer. */
function fewHandlers (heartbeatResult: () => MemberState): PeerHandlers {
  const unexpected = async (): Promise<never> => { throw new Error('not called in this test') }
  return {
    ...Object.fromEntries(methods.map(method => [method, unexpected])) as unknown as PeerHandlers,
    heartbeat: async () => heartbeatResult(),
    suspect: async () => ({ accepted: true })
  }
}

async function startLink (t: TestContext, heartbeatResult = (): MemberState => state): Promise<{ readonly client: PeerClient, readonly port: number, readonly errors: readonly Error[] }> {
  const errors: Error[] = []
  const listener = await listenForPeers({ ip: '127.0.0.1', port: 0 }, fewHandlers(heartbeatResult), undefined, error => { errors.push(error) })
  const timers = systemTimers()
  const client = peerClient({ ip: '127.0.0.1', port: listener.port }, timers, undefined)
  t.after(() => {
    client.close()
    listener.close()
    timers.stop()
  })
  return { client, port: listener.port, errors }
}

/**
 * Sends one line over a new connection; waits for the response or the end of the
 * connection, and returns the response.
 */
async function sendLine (port: number, line: string): Promise<string> {
  return await new Promise<string>(resolve => {
    const socket = connect(port, '127.0.0.1')
    let response = ''
    socket.on('error', () => {})
    socket.once('data', data => { response = String(data); socket.destroy() })
    socket.on('close', () => { resolve(response) })
    socket.write(line + '\n')
  })
}

test('session values arrive under the names that their caller chose', () => {
  const sent = JSON.parse('{"__proto__":"1","constructor":"2","a b":"3"}') as Readonly<Record<string, string>>
  const request = { from: 'h', database: 'd', server: 's', account: 'a', weight: 1, statement: { text: 'READ x' }, values: sent, mode: { kind: 'write' }, remainingMs: 5 }
  assert.deepEqual(Object.entries(decodeParams('execute', request).values), Object.entries(sent))
  for (const values of [undefined, null, [], 'a', { a: 1 }]) assert.throws(() => decodeParams('execute', { ...request, values }))
})

test('line ends in a value do not end its line', async t => {
  const sent: MemberState = { ...state, host: 'entry-1\r\n{}\nnull' }
  const { client } = await startLink(t, () => sent)
  assert.equal((await client.call('heartbeat', sent, timeoutMs)).host, sent.host)
})

test('a malformed line ends its own connection at most', async t => {
  const { client, port } = await startLink(t)
  const lines = ['null', '5', '[null]', 'no json', '{}', deepText(20_000), `{"jsonrpc":"2.0","id":${deepText(20_000)},"method":"heartbeat"}`, `{"jsonrpc":"2.0","id":1,"method":"suspect","params":${deepText(20_000)}}`]
  for (const line of lines) await sendLine(port, line)
  assert.deepEqual(await client.call('heartbeat', state, timeoutMs), { ...state, lease: undefined, load: undefined, features: undefined, era: undefined })
})

// Guards against a fleet of two versions in which one does not understand the other's answers.
test('an answer has the text that earlier versions send', async t => {
  const { port } = await startLink(t)
  const texts = [
    ['{"jsonrpc":"2.0","id":7,"method":"suspect","params":{"~a":"orders","~1g":"s1"}}', '{"jsonrpc":"2.0","id":7,"result":{"accepted":true}}\n'],
    ['{"jsonrpc":"2.0","id":"a","method":"constructor","params":{}}', '{"jsonrpc":"2.0","id":"a","error":{"code":-32601,"message":"Method not found"}}\n'],
    ['{"jsonrpc":"2.0","id":8,"method":"suspect","params":{"~a":"orders"}}', '{"jsonrpc":"2.0","id":8,"error":{"code":0,"message":"the parameters of suspect are malformed at server"}}\n'],
    ['{"id":9,"method":"suspect"}', '{"jsonrpc":"2.0","id":9,"error":{"code":-32600,"message":"Invalid Request"}}\n']
  ] as const
  for (const [request, response] of texts) assert.equal(await sendLine(port, request), response)
})

// Guards against answers that reach another call, and calls that never end.
test('each call gets its own answer, and calls without one end in time or with their link', async t => {
  const lines: string[] = []
  const server = createServer(socket => { socket.on('data', data => { lines.push(...String(data).trimEnd().split('\n')) }); sockets.push(socket) })
  const sockets: Socket[] = []
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const timers = systemTimers()
  const client = peerClient({ ip: '127.0.0.1', port: (server.address() as AddressInfo).port }, timers, undefined)
  t.after(() => { client.close(); server.close(); timers.stop() })
  const suspect = async (name: string, waitMs: number): Promise<unknown> => await client.call('suspect', { database: 'd', server: name }, waitMs).catch((error: WireError) => error.failure)
  const calls = [suspect('a', timeoutMs), suspect('b', timeoutMs), suspect('c', 50), suspect('d', timeoutMs)]
  await until('all requests to arrive', () => lines.length === calls.length)
  assert.equal(lines[0], '{"jsonrpc":"2.0","id":1,"method":"suspect","params":{"~a":"d","~1g":"a"}}')
  assert.equal(await calls[2], 'overdue')
  for (const [id, accepted] of [[2, false], [99, false], [3, true], [1, true]] as const) sockets[0]?.write(`{"jsonrpc":"2.0","id":${id},"result":{"accepted":${accepted}}}\n`)
  assert.deepEqual(await Promise.all(calls.slice(0, 2)), [{ accepted: true }, { accepted: false }])
  sockets[0]?.destroy()
  assert.equal(await calls[3], 'lost')
})

/** Listens in front of a port and passes nothing on before `release`. */
async function startHeldRelay (t: TestContext, targetPort: number): Promise<{ readonly port: number, readonly release: () => void }> {
  const held: Socket[] = []
  const server = createServer(socket => {
    socket.on('error', () => {})
    held.push(socket)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.after(() => {
    server.close()
    for (const socket of held) socket.destroy()
  })
  return {
    port: (server.address() as AddressInfo).port,
    release: () => {
      for (const socket of held) {
        const onward = connect(targetPort, '127.0.0.1')
        onward.on('error', () => { socket.destroy() })
        socket.pipe(onward).pipe(socket)
      }
    }
  }
}

// Guards against TWICE and REFUSED: a call that was given up as not sent stayed in the buffer of a link that opened late, and was executed.
test('a call that timed out before its link was established is never executed', async t => {
  const { certPem, keyPem } = await sharedCertificate()
  const security = { certPem, keyPem, caPem: certPem }
  const executed: string[] = []
  const handlers: PeerHandlers = { ...fewHandlers(() => state), suspect: async ({ server }) => { executed.push(server); return { accepted: true } } }
  const listener = await listenForPeers({ ip: '127.0.0.1', port: 0 }, handlers, security, () => {})
  const relay = await startHeldRelay(t, listener.port)
  const timers = systemTimers()
  const client = peerClient({ ip: '127.0.0.1', port: relay.port }, timers, security)
  t.after(() => { client.close(); listener.close(); timers.stop() })
  await assert.rejects(client.call('suspect', { database: 'd', server: 'given up' }, 50), { failure: 'refused' })
  const second = client.call('suspect', { database: 'd', server: 'sent' }, timeoutMs)
  relay.release()
  assert.deepEqual(await second, { accepted: true })
  assert.deepEqual(executed, ['sent'])
})

test('parameters or a result with a missing field are rejected before they reach a task', async t => {
  const { client, errors } = await startLink(t, () => ({ ...state, generation: -1 }))
  await assert.rejects(client.call('suspect', { database: 'orders' } as never, timeoutMs), /lost/)
  assert.match(errors[0]?.message ?? '', /malformed at server/)
  await assert.rejects(client.call('heartbeat', state, timeoutMs), /malformed at generation/)
  assert.deepEqual(await client.call('suspect', { database: 'orders', server: 's1' }, timeoutMs), { accepted: true })
})

test('no value makes a decoder throw anything but its own error', () => {
  const isRejection = (run: () => unknown): void => {
    try {
      run()
    } catch (error) {
      assert.equal((error as Error).name, 'WireError')
    }
  }
  fc.assert(fc.property(fc.constantFrom(...methods), fc.jsonValue({ maxDepth: 5 }), (method, value) => {
    isRejection(() => decodeParams(method, value))
    isRejection(() => decodeResult(method, value))
  }))
})

test('a time that is infinite is sent as null and stays infinite', () => {
  const position = { term: 1, index: 2 }
  const status = { server: 's1', role: 'replica', fencedTerm: 0, proposer: '', received: position, applied: position } as const
  const { observation } = decodeResult('observe', JSON.parse(JSON.stringify({ observation: { servers: [{ status, heardAgoMs: Infinity }] } })))
  assert.equal(observation?.servers[0]?.heardAgoMs, Infinity)
})

test('of a list of hosts only the invalid entries are dropped', () => {
  const host = { host: 'entry-1', failureDomain: 'medina', ip: '10.0.0.1', port: 7560, state: 'live' }
  const { list } = decodeResult('listHosts', { list: { hosts: [host, { ...host, port: 99_999 }, null, { ...host, ip: '999.1.1.1' }], digest: 'd', agoMs: 5 } })
  assert.deepEqual(list?.hosts, [host])
})
