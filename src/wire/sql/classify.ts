// Classifies a statement by its text. A statement is classified as a read only
// if it provably is one: a SELECT that calls only known functions, takes no
// locks and assigns nothing. Everything else is routed to the primary.
// Statements that would change session state are rejected, because sessions on
// servers are shared.

import type { Hints, ReadLevel, StatementClass } from '../../model/index.js'
import { tokenize, type Token } from './lexer.js'

/** Names of the proxy's own variable, which holds the session token. */
const tokenVariables: ReadonlySet<string> = new Set(['@@limpetmoor_session', '@@session.limpetmoor_session'])

/**
 * Words allowed before a parenthesis in a read: functions without side effects,
 * and keywords.
 */
const allowedBeforeParenthesis: ReadonlySet<string> = new Set(`
  ABS AVG CAST CEIL CEILING CHAR_LENGTH COALESCE CONCAT CONCAT_WS CONVERT COUNT DATE DATE_ADD
  DATE_FORMAT DATE_SUB DATEDIFF DAY EXISTS FLOOR GREATEST GROUP_CONCAT HEX HOUR IF IFNULL IN INSTR
  LEAST LEFT LENGTH LOWER LPAD LTRIM MAX MIN MINUTE MOD MONTH NOT NULLIF OVER POW POWER REPLACE RIGHT ROUND
  RPAD RTRIM SECOND SIGN SQRT SUBSTR SUBSTRING SUM TRIM TRUNCATE UNION UPPER VALUES WHERE YEAR AND OR
  FROM JOIN ON AS SELECT ALL ANY SOME BETWEEN LIKE HAVING BY WHEN THEN ELSE USING DISTINCT LIMIT OFFSET
`.trim().split(/\s+/))

/** Words with which a SELECT may lock or write. */
const sideEffectKeywords: ReadonlySet<string> = new Set(['INTO', 'FOR', 'LOCK', 'PROCEDURE', 'NEXTVAL'])

/** First words of statements that change the schema. */
const schemaKeywords: ReadonlySet<string> = new Set(['ALTER', 'DROP', 'TRUNCATE', 'RENAME'])

/**
 * First words of statements that change session or server state or run other
 * statements.
 */
const sessionKeywords: ReadonlySet<string> = new Set(['USE', 'PREPARE', 'EXECUTE', 'DEALLOCATE', 'LOCK', 'UNLOCK', 'HANDLER', 'XA', 'KILL', 'SHUTDOWN', 'LOAD', 'CHANGE', 'RESET', 'FLUSH', 'GRANT', 'REVOKE'])

/**
 * Classifies a statement.
 * @param sql - the statement
 * @param hints - the hints of the statement
 * @returns the class
 */
export function classify (sql: string, hints: Hints): StatementClass {
  const tokens = withoutTerminator(tokenize(sql))
  if (tokens.some(token => token.kind === 'symbol' && token.text === ';')) return { kind: 'unsupported', what: 'several statements in one query' }
  const words = tokens.map(keywordOf)
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
  if (schemaKeywords.has(first)) return { kind: 'define' }
  return sessionKeywords.has(first) ? { kind: 'unsupported', what: first } : { kind: 'write' }
}

function endOfTransaction (kind: 'commit' | 'rollback', words: ReadonlyArray<string | undefined>): StatementClass {
  if (words.includes('CHAIN') || words.includes('RELEASE')) return { kind: 'unsupported', what: `${kind} with CHAIN or RELEASE` }
  return { kind }
}

function classifySelect (tokens: readonly Token[], hints: Hints): StatementClass {
  const second = tokens[1]
  if (tokens.length === 2 && second?.kind === 'variable' && tokenVariables.has(second.text)) return { kind: 'readToken' }
  return isProvablyRead(tokens) ? { kind: 'read', level: readLevel(hints) } : { kind: 'write' }
}

function readLevel (hints: Hints): ReadLevel {
  if (hints.latest) return { kind: 'latest' }
  if (hints.maxAgeMs !== undefined) return { kind: 'age', maxAgeMs: hints.maxAgeMs }
  return { kind: 'session' }
}

function isProvablyRead (tokens: readonly Token[]): boolean {
  return tokens.every((token, i) => isAllowedInRead(token, tokens[i + 1]))
}

function isAllowedInRead (token: Token, following: Token | undefined): boolean {
  switch (token.kind) {
    case 'opaque':
    case 'variable': return false
    case 'word': return !sideEffectKeywords.has(token.text) && (!isOpeningParenthesis(following) || allowedBeforeParenthesis.has(token.text))
    case 'identifier': return !isOpeningParenthesis(following)
    case 'string':
    case 'number':
    case 'symbol': return true
  }
}

function isOpeningParenthesis (token: Token | undefined): boolean {
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

function keywordOf (token: Token): string | undefined {
  return token.kind === 'word' ? token.text : undefined
}

function withoutTerminator (tokens: readonly Token[]): readonly Token[] {
  const last = tokens.at(-1)
  return last?.kind === 'symbol' && last.text === ';' ? tokens.slice(0, -1) : tokens
}
