// A host is stopped (SIGTERM, and SIGKILL after GraceS) while its clients are in
// transactions: up to 12 statements with pauses shorter than TxIdleMs.

import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { routes, runCase, sleep, trouble } from '../standins/world.mjs'

const sessionCount = 72
const statementCount = 12
const pauseMs = { min: 600, max: 1200 }
const graceMs = 6000
const lossSlackMs = 200
const routeTimeoutMs = 1000
/** A server that is still at work on a request of this time or before is an excuse. */
const excusedUntilMs = 3000

await runCase(dirname(fileURLToPath(import.meta.url)), async world => {
  await world.start({ group: { workMs: 55 } })
  const [host] = world.hosts
  const requests = []
  let nextId = 0
  const ask = async (session, at, text) => {
    const request = { id: `q${String(nextId++).padStart(15, '0')}`, text, sentAtMs: world.nowMs() }
    requests.push(request)
    world.note('sent', { session: at, ...request })
    request.answer = await session.query(request.id, text)
    request.endedAtMs = world.nowMs()
    world.note('answered', { session: at, id: request.id, ...request.answer })
    return request.answer
  }
  // One session with one transaction after the other; it stays closed once the host
  // has closed it between two requests.
  const state = { isOver: false }
  const play = async at => {
    await sleep(Math.random() * 1000)
    // A third writes at the primary; the others read, mostly at the replicas.
    const isWriter = at % 3 === 0
    const session = await world.open(host, isWriter ? routes.order : routes.lookup, at % 4)
    while (!state.isOver && session?.isOpen === true) {
      let answer = await ask(session, at, isWriter ? 'BEGIN' : 'BEGIN READ')
      for (let count = 0; count < statementCount && answer.kind === 'ready' && answer.state === 'T'; count += 1) {
        await sleep(pauseMs.min + Math.random() * (pauseMs.max - pauseMs.min))
        if (!session.isOpen || state.isOver) return session.close()
        answer = await ask(session, at, isWriter && count % 3 === 0 ? `WRITE item-${at} data-${count}` : `READ item-${at}`)
      }
      if (answer.kind !== 'ready') return
      await ask(session, at, answer.state === 'T' ? 'COMMIT' : 'ROLLBACK')
      await sleep(pauseMs.min + Math.random() * (pauseMs.max - pauseMs.min))
    }
  }
  const sessions = Promise.all(Array.from({ length: sessionCount }, async (_, at) => { await play(at) }))
  await sleep(2000)
  const stoppedAtMs = world.nowMs()
  if (trouble) {
    world.note('SIGTERM', { host: host.name })
    host.child.kill('SIGTERM')
    await Promise.race([host.ended, sleep(graceMs)])
    world.note('SIGKILL', { host: host.name })
    host.child.kill('SIGKILL')
  } else await sleep(graceMs)
  await sleep(1500)
  state.isOver = true
  await Promise.race([sessions, sleep(3000)])
  const ran = new Set(world.runs.map(run => run.id))
  const cut = requests.filter(({ answer, sentAtMs }) => answer?.kind === 'ended' && sentAtMs >= stoppedAtMs)
  world.note('summary', { sentAfterStop: requests.filter(request => request.sentAtMs >= stoppedAtMs).length, cut: cut.length })
  return cut.filter(({ id, sentAtMs, endedAtMs }) => {
    const tookMs = endedAtMs - sentAtMs
    if (tookMs >= routeTimeoutMs) return false
    if (sentAtMs - stoppedAtMs <= excusedUntilMs) return false
    return ran.has(id) || tookMs > lossSlackMs
  }).map(({ id, text, sentAtMs, endedAtMs }) => ({ rule: 'LOST', id, text, sentAfterSigtermMs: sentAtMs - stoppedAtMs, cutAfterMs: endedAtMs - sentAtMs, wasRunAtServer: ran.has(id) }))
})
