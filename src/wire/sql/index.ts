// The SQL dialect of the MySQL front: what a text does, read from the text.

import type { ParsedStatement, StatementClass } from '../../model/index.js'
import { noHints } from '../../model/index.js'
import { classify } from './classify.js'
import { parseHints } from './hints.js'

export * from './classify.js'
export * from './hints.js'
export * from './lexer.js'

/**
 * Reads a SQL statement.
 * @param text - the statement
 * @returns the statement with its class and hints; malformed hints are a class of their own
 */
export function parseSql (text: string): ParsedStatement {
  const read = parseHints(text)
  switch (read.kind) {
    case 'malformed': return parsed(text, { kind: 'malformed', detail: read.detail })
    case 'hints': return { ...parsed(text, classify(text, read.hints)), hints: read.hints }
  }
}

function parsed (text: string, statementClass: StatementClass): ParsedStatement {
  return { id: undefined, text, statementClass, hints: noHints }
}
