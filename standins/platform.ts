// Stand-in of the platform: its object API over HTTP and JSON, in memory.

import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Address } from '../src/model/index.js'
import { sleep, startTask, systemTimers, type Port, type TimerService } from '../src/pipe/index.js'
import { readBody, parseCall, writeAnswer } from './platform/http.js'
import { emptyPlatform, stepPlatform, type AnswerPort, type PlatformEffect, type PlatformMessage, type PlatformState } from './platform/state.js'

/** Maximum number of messages in the mailbox of the platform's task. */
const mailboxCapacity = 100_000
/** How long an idle connection stays open. */
const keepAliveMs = 60_000

/** A running stand-in. */
export type RunningStandin = {
  readonly address: Address
  readonly stop: () => Promise<void>
}

/**
 * Starts the stand-in of the platform.
 * @param listen - listen address; port 0 selects a free port
 * @returns the running stand-in
 */
export async function startPlatform (listen: Address): Promise<RunningStandin> {
  const timers = systemTimers()
  const task = startTask<PlatformState, PlatformMessage, PlatformEffect>({
    name: 'platform',
    initial: emptyPlatform,
    step: stepPlatform,
    perform: (effect, self) => { perform(effect, self, timers) },
    capacity: mailboxCapacity,
    onError: error => { console.error(error) }
  })
  const server = createServer({ keepAliveTimeout: keepAliveMs }, (request, response) => {
    serve(request, response, task.port, timers).catch(() => { response.destroy() })
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(listen.port, listen.ip, resolve)
  })
  return {
    address: { ip: listen.ip, port: (server.address() as AddressInfo).port },
    stop: async () => {
      server.closeAllConnections()
      await new Promise(resolve => { server.close(resolve) })
      timers.stop()
      await task.stop()
    }
  }
}

function perform (effect: PlatformEffect, self: Port<PlatformMessage>, timers: TimerService): void {
  switch (effect.kind) {
    case 'answer':
      effect.port.send(effect.answer)
      return
    case 'sendAfter': {
      const message = effect.message
      timers.after(effect.delayMs, { send: () => self.send(message) })
    }
  }
}

async function serve (request: IncomingMessage, response: ServerResponse, platform: Port<PlatformMessage>, timers: TimerService): Promise<void> {
  const body = await readBody(request)
  if (body === undefined) {
    writeAnswer(response, { kind: 'body', status: 413, body: { reason: 'value too large' }, delayMs: 0 })
    return
  }
  const port = answerPort(response, timers)
  const call = parseCall(request.method ?? '', request.url ?? '', body, port)
  switch (call.kind) {
    case 'rejected':
      writeAnswer(response, { kind: 'body', status: call.status, body: { reason: call.reason }, delayMs: 0 })
      return
    case 'call':
      response.once('close', () => { platform.send({ kind: 'watcherDisconnected', port }) })
      platform.send(call.message)
  }
}

function answerPort (response: ServerResponse, timers: TimerService): AnswerPort {
  return {
    send: answer => {
      if (answer.kind === 'lost' || answer.delayMs === 0) writeAnswer(response, answer)
      else void sleep(timers, answer.delayMs).then(() => { writeAnswer(response, answer) })
      return 'accepted'
    }
  }
}
