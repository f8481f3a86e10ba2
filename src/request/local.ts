// Filter: answers statements that need no database: the session token, values
// and prepared statements of the session, and settings that apply anyway. They
// take no token from the account's rate limit.

import { notRun, type Answer, type Outcome } from '../model/index.js'
import { end, next, type Filter, type FilterResult } from '../pipe/index.js'
import { requestResult, type Classified, type RequestResult } from './message.js'
import type { RequestServices } from './services.js'
import { applyToken, type SessionState } from './session.js'

/** MySQL type number of a VAR_STRING column. */
const textColumnType = 253
const utf8CharacterSet = 45
const maxTokenColumnLength = 65535

/**
 * Creates the filter for local answers.
 * @param services - codec of session tokens, and the account of what sessions keep
 * @returns the filter
 */
export function answerLocally (services: Pick<RequestServices, 'encodeToken' | 'decodeToken' | 'keepBytes'>): Filter<Classified, Classified, RequestResult> {
  const keep = (message: Classified, addedBytes: number, change: Partial<Pick<SessionState, 'values' | 'prepared'>>): FilterResult<never, RequestResult> => {
    const { session } = message
    const isKept = services.keepBytes?.(session.keptBytes, addedBytes) ?? true
    if (!isKept) return end(requestResult(message, notRun('overloaded', 'this host has no memory for more session values and prepared statements')))
    return end({ outcome: proxyAnswer(done), session: { ...session, ...change, keptBytes: session.keptBytes + addedBytes } })
  }
  return message => {
    const { statementClass } = message.statement
    switch (statementClass.kind) {
      case 'setDefault': return end(requestResult(message, proxyAnswer(done)))
      case 'readToken': return end(requestResult(message, proxyAnswer(tokenAnswer(services.encodeToken(message.session.minPositions)))))
      case 'setToken': {
        const minPositions = services.decodeToken(statementClass.token)
        if (minPositions === undefined) return end(requestResult(message, notRun('hintMalformed', 'the session token is malformed')))
        return end({ outcome: proxyAnswer(done), session: applyToken(message.session, minPositions) })
      }
      case 'setValue': {
        const { name, value } = statementClass
        const added = keptSize(name, value) - keptSize(name, message.session.values[name])
        return keep(message, added, { values: { ...message.session.values, [name]: value } })
      }
      case 'prepare': {
        const { name, prepared } = statementClass
        const added = keptSize(name, prepared.shape) - keptSize(name, message.session.prepared.get(name)?.shape)
        return keep(message, added, { prepared: new Map(message.session.prepared).set(name, prepared) })
      }
      case 'deallocate': {
        const { name } = statementClass
        const prepared = new Map(message.session.prepared)
        prepared.delete(name)
        return keep(message, -keptSize(name, message.session.prepared.get(name)?.shape), { prepared })
      }
      case 'commit':
      case 'rollback': return message.session.transaction === undefined ? end(requestResult(message, proxyAnswer(done))) : next(message)
      case 'define': {
        if (message.session.transaction === undefined) return next(message)
        return end(requestResult(message, notRun('unsupported', 'a schema change would commit the open transaction and is not supported inside one')))
      }
      case 'read':
      case 'write':
      case 'begin':
      case 'executePrepared':
      case 'malformed':
      case 'unsupported': return next(message)
    }
  }
}

/** Memory of a kept name besides its text. */
const keptOverheadBytes = 128

function keptSize (name: string, text: string | undefined): number {
  return text === undefined ? 0 : name.length + text.length + keptOverheadBytes
}

const done: Answer = { kind: 'done', affectedRows: 0, insertId: 0 }

/**
 * Creates the outcome for an answer of the proxy itself.
 * @param answer - the answer
 * @returns the outcome, without a position
 */
export function proxyAnswer (answer: Answer): Outcome {
  return { kind: 'answered', answer, position: undefined, servedBy: 'proxy' }
}

function tokenAnswer (token: string): Answer {
  const column = { name: '@@limpetmoor_session', type: textColumnType, flags: 0, length: maxTokenColumnLength, decimals: 0, characterSet: utf8CharacterSet }
  return { kind: 'rows', columns: [column], rows: [[token]] }
}
