// Filter: answers what the proxy knows by itself: the session token, values and
// prepared names of the session, settings that hold anyway. Nothing of it reaches a database or costs a token
// of the account's rate.

import { notRun, type Answer, type Outcome } from '../model/index.js'
import { end, next, type Filter } from '../pipe/index.js'
import { requestResult, type Classified, type RequestResult } from './message.js'
import type { RequestServices } from './services.js'
import { applyToken } from './session.js'

/** MySQL's type number of a text column. */
const textColumnType = 253
const utf8CharacterSet = 45
const maxTokenColumnLength = 65535

/**
 * Makes the filter.
 * @param services - the token codec
 * @returns the filter
 */
export function answerLocally (services: Pick<RequestServices, 'encodeToken' | 'decodeToken'>): Filter<Classified, Classified, RequestResult> {
  return message => {
    const { statementClass } = message.statement
    switch (statementClass.kind) {
      case 'setDefault': return end(requestResult(message, proxyAnswer(done)))
      case 'readToken': return end(requestResult(message, proxyAnswer(tokenAnswer(services.encodeToken(message.session.minPositions)))))
      case 'setToken': {
        const floors = services.decodeToken(statementClass.token)
        if (floors === undefined) return end(requestResult(message, notRun('hintMalformed', 'the session token is malformed')))
        return end({ outcome: proxyAnswer(done), session: applyToken(message.session, floors) })
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
        return end(requestResult(message, notRun('unsupported', 'a change of the schema would commit the open transaction; it is not supported there')))
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
 * An answer that the proxy gives by itself.
 * @param answer - the answer
 * @returns the outcome
 */
export function proxyAnswer (answer: Answer): Outcome {
  return { kind: 'answered', answer, position: undefined, servedBy: 'proxy' }
}

function tokenAnswer (token: string): Answer {
  const column = { name: '@@limpetmoor_session', type: textColumnType, flags: 0, length: maxTokenColumnLength, decimals: 0, characterSet: utf8CharacterSet }
  return { kind: 'rows', columns: [column], rows: [[token]] }
}
