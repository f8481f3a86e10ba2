// Classifies a statement by its text. A statement is a read only where it is
// surely one: a SELECT with known functions that locks nothing and assigns
// nothing. Everything else goes to the primary. Statements that would change
// the state of a session are refused, because sessions on servers are shared.

import type { Hints, ReadLevel, StatementClass } from '../../model/index.js'
import { tokenize, type Token } from './lexer.js'

/** The proxy's own variable: the token of the session. */
const tokenVariables: ReadonlySet<string> = new Set(['@@limpetmoor_session', '@@session.limpetmoor_session'])

/** Functions that read only their arguments and the rows. */
const readingFunctions: ReadonlySet<string> = new Set(`
  ABS AVG CAST CEIL CEILING CHAR_LENGTH COALESCE CONCAT CONCAT_WS CONVERT COUNT DATE DATE_ADD
  DATE_FORMAT DATE_SUB DATEDIFF DAY EXISTS FLOOR GREATEST GROUP_CONCAT HEX HOUR IF IFNULL IN INSTR
  LEAST LEFT LENGTH LOWER LPAD LTRIM MAX MIN MINUTE MOD MONTH NOT NULLIF OVER POW POWER REPLACE RIGHT ROUND
  RPAD RTRIM SECOND SIGN SQRT SUBSTR SUBSTRING SUM TRIM TRUNCATE UNION UPPER VALUES WHERE YEAR AND OR
  FROM JOIN ON AS SELECT ALL ANY SOME BETWEEN LIKE HAVING BY WHEN THEN ELSE USING DISTINCT LIMIT OFFSET
`.trim().split(/\s+/))

/** Words that make a SELECT lock or write. */
const effectWords: ReadonlySet<string> = new Set(['INTO', 'FOR', 'LOCK', 'PROCEDURE', 'NEXTVAL'])

/** Statements that change the schema. */
const definitionWords: ReadonlySet<string> = new Set(['ALTER', 'DROP', 'TRUNCATE', 'RENAME'])

/** Statements that change the session or run others. */
const sessionWords: ReadonlySet<string> = new Set(['USE', 'PREPARE', 'EXECUTE', 'DEALLOCATE', 'LOCK', 'UNLOCK', 'HANDLER', 'XA', 'KILL', 'SHUTDOWN', 'LOAD', 'CHANGE', 'RESET', 'FLUSH', 'GRANT', 'REVOKE'])

/**
 * Classifies a statement.
 * @param sql - the statement
 * @param hints - the hints that were read from it
 * @returns the class
 */
export function classify (sql: string, hints: Hints): StatementClass {
  const tokens = withoutEnd(tokenize(sql))
  if (tokens.some(token => token.kind === 'symbol' && token.text === ';')) return { kind: 'unsupported', what: 'several statements in one text' }
  const words = tokens.map(wordOf)
  switch (words[0]) {
    case 'SELECT': return classifySelect(tokens, hints)
    case 'SET': return classifySet(tokens, words)
    case 'BEGIN': return words.length <= 2 ? { kind: 'begin', access: 'write' } : { kind: 'unsupported', what: 'a compound statement' }
    case 'START': return words[1] === 'TRANSACTION' ? { kind: 'begin', access: 'write' } : { kind: 'unsupported', what: `START ${words[1] ?? ''}` }
    case 'COMMIT': return endOfTransaction('commit', words)
    case 'ROLLBACK': return words.includes('TO') ? { kind: 'write' } : endOfTransaction('rollback', words)
    case 'CREATE': return words[1] === 'TEMPORARY' ? { kind: 'unsupported', what: 'a temporary table' } : { kind: 'define' }
    case 'CALL': return (words[1] ?? '').startsWith('LEDGER_') ? { kind: 'unsupported', what: 'a ledger call' } : { kind: 'write' }
    case undefined: return tokens.length === 0 ? { kind: 'unsupported', what: 'an empty statement' } : { kind: 'write' }
    default: return classifyOther(words[0])
  }
}

function classifyOther (first: string): StatementClass {
  if (definitionWords.has(first)) return { kind: 'define' }
  return sessionWords.has(first) ? { kind: 'unsupported', what: first } : { kind: 'write' }
}

function endOfTransaction (kind: 'commit' | 'rollback', words: ReadonlyArray<string | undefined>): StatementClass {
  if (words.includes('CHAIN') || words.includes('RELEASE')) return { kind: 'unsupported', what: `${kind} with CHAIN or RELEASE` }
  return { kind }
}

function classifySelect (tokens: readonly Token[], hints: Hints): StatementClass {
  const second = tokens[1]
  if (tokens.length === 2 && second?.kind === 'variable' && tokenVariables.has(second.text)) return { kind: 'readToken' }
  return isSurelyRead(tokens) ? { kind: 'read', level: readLevel(hints) } : { kind: 'write' }
}

function readLevel (hints: Hints): ReadLevel {
  if (hints.latest) return { kind: 'latest' }
  if (hints.maxAgeMs !== undefined) return { kind: 'age', maxAgeMs: hints.maxAgeMs }
  return { kind: 'session' }
}

function isSurelyRead (tokens: readonly Token[]): boolean {
  return tokens.every((token, i) => mayStandInRead(token, tokens[i + 1]))
}

function mayStandInRead (token: Token, following: Token | undefined): boolean {
  switch (token.kind) {
    case 'opaque':
    case 'variable': return false
    case 'word': return !effectWords.has(token.text) && (!opensBracket(following) || readingFunctions.has(token.text))
    case 'identifier': return !opensBracket(following)
    case 'string':
    case 'number':
    case 'symbol': return true
  }
}

function opensBracket (token: Token | undefined): boolean {
  return token?.kind === 'symbol' && token.text === '('
}

function classifySet (tokens: readonly Token[], words: ReadonlyArray<string | undefined>): StatementClass {
  const [, target, equals, value] = tokens
  if (tokens.length === 4 && target?.kind === 'variable' && tokenVariables.has(target.text) && equals?.kind === 'symbol' && value?.kind === 'string') {
    return { kind: 'setToken', token: value.text }
  }
  if (words[1] === 'NAMES' && (words[2] === 'UTF8MB4' || words[2] === 'UTF8')) return { kind: 'setDefault' }
  if (words[1] === 'AUTOCOMMIT' && tokens.length === 4 && value?.kind === 'number' && value.text === '1') return { kind: 'setDefault' }
  return { kind: 'unsupported', what: 'SET' }
}

function wordOf (token: Token): string | undefined {
  return token.kind === 'word' ? token.text : undefined
}

function withoutEnd (tokens: readonly Token[]): readonly Token[] {
  const last = tokens.at(-1)
  return last?.kind === 'symbol' && last.text === ';' ? tokens.slice(0, -1) : tokens
}
