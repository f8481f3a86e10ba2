// Filter: answers statements that need no database: the session token, values
// and prepared statements of the session, and settings that apply anyway. They
// take no token from the account's rate limit.

import { notRun, type Answer, type Outcome } from '../model/index.js'
import { end, next, type Filter } from '../pipe/index.js'
import { requestResult, type Classified, type RequestResult } from './message.js'
import type { RequestServices } from './services.js'
import { applyToken } from './session.js'

/** MySQL type number of a VAR_STRING column. */
const textColumnType = 253
const utf8CharacterSet = 45
const maxTokenColumnLength = 65535

/**
 * Creates the filter for local answers.
 * @param services - codec of session tokens
 * @returns the filter
 */
export function answerLocally (services: Pick<RequestServices, 'encodeToken' | 'decodeToken'>): Filter<Classified, Classified, RequestResult> {
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
        const values = { ...message.session.values, [statementClass.name]: statementClass.value }
        return end({ outcome: proxyAnswer(done), session: { ...message.session, values } })
      }
      case 'prepare': {
        const prepared = new Map(message.session.prepared).set(statementClass.name, statementClass.prepared)
        return end({ outcome: proxyAnswer(done), session: { ...message.session, prepared } })
      }
      case 'deallocate': {
        const prepared = new Map(message.session.prepared)
        prepared.delete(statementClass.name)
        return end({ outcome: proxyAnswer(done), session: { ...message.session, prepared } })
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
