import assert from 'node:assert/strict'
import { createServer, connect, type AddressInfo, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { startLink, type FaultyLink } from '../../standins/faulty-link.js'
import { passThroughControl, type LinkMode } from '../../standins/link-state.js'
import { until } from '../support/until.js'

type EchoClient = {
  readonly socket: Socket
  readonly received: () => string
  readonly closed: () => boolean
}

/**
 * Starts a link to a server that answers each chunk with its text in upper
 * case.
 */
async function echoLink (t: TestContext): Promise<FaultyLink> {
  const server = createServer(socket => {
    socket.on('data', bytes => { socket.write(bytes.toString().toUpperCase()) })
    socket.on('error', () => {})
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const link = await startLink({ ip: '127.0.0.1', port: 0 }, { ip: '127.0.0.1', port: (server.address() as AddressInfo).port })
  t.after(async () => {
    await link.stop()
    server.close()
  })
  return link
}

function connectClient (t: TestContext, link: FaultyLink): EchoClient {
  let received = ''
  let closed = false
  const socket = connect(link.listen.port, link.listen.ip)
  socket.on('data', bytes => { received += bytes.toString() })
  socket.on('error', () => {})
  socket.on('close', () => { closed = true })
  t.after(() => { socket.destroy() })
  return { socket, received: () => received, closed: () => closed }
}

async function expectEcho (client: EchoClient, text: string): Promise<void> {
  client.socket.write(text)
  await until(`an answer to ${text}`, () => client.received().endsWith(text.toUpperCase()))
}

function setMode (link: FaultyLink, mode: LinkMode): void {
  link.control({ ...passThroughControl, mode })
}

test('a link forwards bytes in order, with and without a delay', async t => {
  const link = await echoLink(t)
  const client = connectClient(t, link)
  await expectEcho(client, 'a')
  link.control({ ...passThroughControl, delayMs: 30 })
  client.socket.write('b')
  link.control(passThroughControl)
  client.socket.write('c')
  await until('all answers', () => client.received().length === 3)
  assert.equal(client.received(), 'ABC')
})

test('a half-open link silences open connections permanently, new connections work', async t => {
  const link = await echoLink(t)
  const oldClient = connectClient(t, link)
  await expectEcho(oldClient, 'a')
  setMode(link, 'halfOpen')
  oldClient.socket.write('b')
  await expectEcho(connectClient(t, link), 'c')
  setMode(link, 'pass')
  oldClient.socket.write('d')
  await expectEcho(connectClient(t, link), 'e')
  assert.deepEqual([oldClient.received(), oldClient.closed()], ['A', false])
})

test('a cut or refusing link closes open and new connections, and recovers', async t => {
  const link = await echoLink(t)
  for (const mode of ['cut', 'refuse'] as const) {
    const openClient = connectClient(t, link)
    await expectEcho(openClient, 'a')
    setMode(link, mode)
    await until('the open connection closes', () => openClient.closed())
    const newClient = connectClient(t, link)
    await until('the new connection closes', () => newClient.closed())
    setMode(link, 'pass')
    await until('the link listens again', async () => {
      const probe = connectClient(t, link)
      probe.socket.write('b')
      await until('an answer or the close', () => probe.received() === 'B' || probe.closed())
      return probe.received() === 'B'
    })
  }
})

test('a link that holds bytes delivers them when the mode ends', async t => {
  const link = await echoLink(t)
  const client = connectClient(t, link)
  await expectEcho(client, 'a')
  setMode(link, 'hold')
  client.socket.write('b')
  const newClient = connectClient(t, link)
  newClient.socket.write('c')
  await until('the new connection is open', () => link.status().opened === 2)
  setMode(link, 'pass')
  await until('held bytes arrive', () => client.received() === 'AB' && newClient.received() === 'C')
})

test('a connection silent in one direction stays silent, new connections work', async t => {
  const link = await echoLink(t)
  setMode(link, 'silentToClient')
  const affected = connectClient(t, link)
  affected.socket.write('a')
  await until('the connection is open', () => link.status().opened === 1)
  setMode(link, 'pass')
  await expectEcho(connectClient(t, link), 'b')
  assert.deepEqual([affected.received(), affected.closed()], ['', false])
})

test('a dropped answer never arrives and its connection is reset', async t => {
  const link = await echoLink(t)
  const client = connectClient(t, link)
  await expectEcho(client, 'a')
  link.control({ ...passThroughControl, dropNextAnswer: 1 })
  client.socket.write('b')
  await until('the connection closes', () => client.closed())
  assert.equal(client.received(), 'A')
  await expectEcho(connectClient(t, link), 'c')
})
