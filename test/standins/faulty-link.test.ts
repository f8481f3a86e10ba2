import assert from 'node:assert/strict'
import { createServer, connect, type AddressInfo, type Socket } from 'node:net'
import { test, type TestContext } from 'node:test'
import { startLink, type FaultyLink } from '../../standins/faulty-link.js'
import { passingControl, type LinkMode } from '../../standins/link-state.js'
import { until } from '../support/until.js'

type Talk = {
  readonly socket: Socket
  readonly heard: () => string
  readonly closed: () => boolean
}

/** A link to a server that answers each chunk with the same in capitals. */
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

function talk (t: TestContext, link: FaultyLink): Talk {
  let heard = ''
  let closed = false
  const socket = connect(link.listen.port, link.listen.ip)
  socket.on('data', bytes => { heard += bytes.toString() })
  socket.on('error', () => {})
  socket.on('close', () => { closed = true })
  t.after(() => { socket.destroy() })
  return { socket, heard: () => heard, closed: () => closed }
}

async function saysAndHears (talked: Talk, text: string): Promise<void> {
  talked.socket.write(text)
  await until(`an answer to ${text}`, () => talked.heard().endsWith(text.toUpperCase()))
}

function setMode (link: FaultyLink, mode: LinkMode): void {
  link.control({ ...passingControl, mode })
}

test('a link passes bytes in order, delayed or not', async t => {
  const link = await echoLink(t)
  const talked = talk(t, link)
  await saysAndHears(talked, 'a')
  link.control({ ...passingControl, delayMs: 30 })
  talked.socket.write('b')
  link.control(passingControl)
  talked.socket.write('c')
  await until('all answers', () => talked.heard().length === 3)
  assert.equal(talked.heard(), 'ABC')
})

test('a half-open link silences what is open for good, new connections work', async t => {
  const link = await echoLink(t)
  const old = talk(t, link)
  await saysAndHears(old, 'a')
  setMode(link, 'halfOpen')
  old.socket.write('b')
  await saysAndHears(talk(t, link), 'c')
  setMode(link, 'pass')
  old.socket.write('d')
  await saysAndHears(talk(t, link), 'e')
  assert.deepEqual([old.heard(), old.closed()], ['A', false])
})

test('a cut link ends connections, a refusing one lets none in, both recover', async t => {
  const link = await echoLink(t)
  for (const mode of ['cut', 'refuse'] as const) {
    const open = talk(t, link)
    await saysAndHears(open, 'a')
    setMode(link, mode)
    await until('the open one ends', () => open.closed())
    const late = talk(t, link)
    await until('the late one ends', () => late.closed())
    setMode(link, 'pass')
    await until('it listens again', async () => {
      const probe = talk(t, link)
      probe.socket.write('b')
      await until('an answer or the end', () => probe.heard() === 'B' || probe.closed())
      return probe.heard() === 'B'
    })
  }
})

test('a held link delivers when it is released', async t => {
  const link = await echoLink(t)
  const talked = talk(t, link)
  await saysAndHears(talked, 'a')
  setMode(link, 'hold')
  talked.socket.write('b')
  const late = talk(t, link)
  late.socket.write('c')
  await until('the late one is in', () => link.shown().opened === 2)
  setMode(link, 'pass')
  await until('held bytes arrive', () => talked.heard() === 'AB' && late.heard() === 'C')
})

test('silence in one direction lets the other pass', async t => {
  const link = await echoLink(t)
  setMode(link, 'silentToClient')
  const deaf = talk(t, link)
  deaf.socket.write('a')
  await until('it is in', () => link.shown().opened === 1)
  setMode(link, 'pass')
  await saysAndHears(talk(t, link), 'b')
  assert.deepEqual([deaf.heard(), deaf.closed()], ['', false])
})

test('a dropped answer never arrives and its connection is cut', async t => {
  const link = await echoLink(t)
  const talked = talk(t, link)
  await saysAndHears(talked, 'a')
  link.control({ ...passingControl, dropNextAnswer: 1 })
  talked.socket.write('b')
  await until('the end', () => talked.closed())
  assert.equal(talked.heard(), 'A')
  await saysAndHears(talk(t, link), 'c')
})
