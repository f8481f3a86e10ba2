// A client rests in a transaction while its server crashes and returns under its id.
// Its next statement must not run in the transaction of another client.

import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { delay, hasTrouble, heartbeatMs, openSession, runCase, startDeployment, untilServing, zones } from '../standins-2/fleet.mjs'

const folder = dirname(fileURLToPath(import.meta.url))
/** The longest crash of a server in the site files. */
const crashMs = 7200
const returnedWithinMs = 6000

await runCase(folder, async record => {
  const fleet = await startDeployment()
  try {
    for (const proxy of fleet.proxies) await untilServing(proxy)
    return await run(fleet, record)
  } finally {
    await fleet.stop()
  }
})

async function run (fleet, record) {
  const { servers: [server], proxies: [near], registry, group } = fleet
  const first = await openSession(near, 'orders')
  const say = (who, text, answer) => { record.add(`${who}: ${text} -> ${answer.code ?? answer.signature} state ${answer.state}`) }
  say('first', 'BEGIN', await first.query('BEGIN'))
  const write = await first.query('WRITE folio-12 resewn', 'first-write')
  say('first', 'WRITE folio-12', write)
  if (write.signature === undefined) throw new Error('the first client got no transaction')

  if (hasTrouble) {
    await crashAndReturn({ server, registry, group, record })
  } else {
    await delay(crashMs + 1000)
  }

  const second = await transactionAt(near, server, record)
  const commit = await first.query('COMMIT', 'first-commit')
  say('first', 'COMMIT', commit)
  const after = await second.client.query('READ folio-7', 'second-after')
  say('second', 'READ folio-7 in its transaction', after)

  const runs = fleet.servers.flatMap(each => each.runs)
  for (const run of runs) record.add(`run: server ${run.server} connection ${run.connection} id ${run.id} text "${run.text}" in a transaction ${run.inTransaction}`)
  const foreign = runs.filter(run => run.id === 'first-commit' && run.server === server.id && run.connection === second.connection)
  const isWritten = group.nodes.some(node => node.log.some(entry => entry.id === 'first-write'))
  record.add(`COMMIT of the first client ran on the connection of the second client's transaction: ${foreign.length > 0}`)
  record.add(`COMMIT of the first client was answered with success: ${commit.signature !== undefined}; its write is in a log: ${isWritten}`)
  return foreign.length === 0
}

// The server crashes shortly before a heartbeat, and returns with its log, as a
// replica, because another server was promoted meanwhile.
async function crashAndReturn ({ server, registry, group, record }) {
  const entry = registry.entryOf(server)
  await delay(Math.max(0, entry.beatAtMs + heartbeatMs - 100 - performance.now()))
  registry.end(server)
  await server.crash()
  record.add(`server ${server.id} crashes`)
  await delay(crashMs)
  const node = server.node
  const others = group.nodes.filter(each => each !== node && each.role === 'primary')
  if (others.length > 0) node.role = 'replica'
  await server.start()
  group.resume(node)
  registry.begin(server, zones[0])
  record.add(`server ${server.id} is back as ${node.role}`)
}

// Opens transactions until one runs on the server; the others are ended. A replica
// gets those that only read, on the route with bounded staleness.
async function transactionAt (proxy, server, record) {
  const untilMs = performance.now() + returnedWithinMs
  for (let at = 1; performance.now() < untilMs; at += 1) {
    const [database, begin] = server.node.role === 'primary' ? ['orders', 'BEGIN'] : ['lookup', 'BEGIN READ']
    const client = await openSession(proxy, database)
    const begun = await client.query(begin)
    const read = await client.query('READ folio-7', `second-${at}`)
    record.add(`second: ${begin} -> ${begun.code ?? begun.signature}, READ folio-7 -> ${read.code ?? read.signature}`)
    const ran = server.runs.find(run => run.id === `second-${at}`)
    if (ran !== undefined && read.signature !== undefined) return { client, connection: ran.connection }
    await client.query('ROLLBACK')
    client.disconnect()
    await delay(50)
  }
  throw new Error('no transaction of the second client ran on the server')
}
