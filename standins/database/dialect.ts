// Translates the subset of MySQL that the tests use into the dialect of SQLite:
// string literals with backslash escapes and a few keywords that differ. Also
// classifies statements by kind.

/** Kind of a statement, with the arguments that the server needs. */
export type StatementKind =
  | { readonly kind: 'begin', readonly readOnly: boolean }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  | { readonly kind: 'set' }
  | { readonly kind: 'kill', readonly session: number }
  | { readonly kind: 'unsupported', readonly word: string }
  | { readonly kind: 'call', readonly name: string, readonly args: ReadonlyArray<string | number> }
  | { readonly kind: 'read' }
  | { readonly kind: 'write' }

/** Literals, quoted names and comments, in which no keyword is replaced. */
const verbatimPattern = /'(?:[^'\\]|\\[\s\S]|'')*'|"(?:[^"\\]|\\[\s\S]|"")*"|`[^`]*`|\/\*[\s\S]*?\*\/|--[ \t][^\n]*|#[^\n]*/g

const escapes: ReadonlyMap<string, string> = new Map([['0', '\0'], ['b', '\b'], ['n', '\n'], ['r', '\r'], ['t', '\t'], ['Z', '\x1a']])

/** Keywords and clauses of MySQL with their replacement in SQLite. */
const wordReplacements: ReadonlyArray<readonly [RegExp, string]> = [
  [/\b(?:BIGINT|INT|INTEGER)(?:\s*\(\d+\))?(?:\s+UNSIGNED)?(?:\s+NOT\s+NULL)?\s+PRIMARY\s+KEY\s+AUTO_INCREMENT\b/gi, 'INTEGER PRIMARY KEY AUTOINCREMENT'],
  [/\b(?:BIGINT|INT|INTEGER)(?:\s*\(\d+\))?(?:\s+UNSIGNED)?(?:\s+NOT\s+NULL)?\s+AUTO_INCREMENT\s+PRIMARY\s+KEY\b/gi, 'INTEGER PRIMARY KEY AUTOINCREMENT'],
  [/\bUNSIGNED\b/gi, ''],
  [/\bENGINE\s*=\s*\w+/gi, ''],
  [/\b(?:DEFAULT\s+)?(?:CHARSET|CHARACTER\s+SET)\s*=?\s*\w+/gi, ''],
  [/\bCOLLATE\s*=?\s*\w+/gi, ''],
  [/\bINSERT\s+IGNORE\b/gi, 'INSERT OR IGNORE'],
  [/\bON\s+DUPLICATE\s+KEY\s+UPDATE\b/gi, 'ON CONFLICT DO UPDATE SET'],
  [/\bFOR\s+(?:UPDATE|SHARE)\b/gi, '']
]

const unsupportedWords: readonly string[] = ['PRAGMA', 'ATTACH', 'DETACH', 'VACUUM', 'SAVEPOINT', 'RELEASE', 'PREPARE', 'EXECUTE', 'DEALLOCATE']

export function toSqlite (text: string): string {
  let translated = ''
  let end = 0
  for (const match of text.matchAll(verbatimPattern)) {
    translated += translateWords(text.slice(end, match.index)) + translateVerbatim(match[0])
    end = match.index + match[0].length
  }
  return translated + translateWords(text.slice(end))
}

function translateWords (text: string): string {
  return wordReplacements.reduce((result, [word, replacement]) => result.replace(word, replacement), text)
}

function translateVerbatim (piece: string): string {
  const quote = piece.charAt(0)
  if (quote === '#') return `--${piece.slice(1)}`
  if (quote !== "'" && quote !== '"') return piece
  const value = piece.slice(1, -1)
    .replaceAll(quote + quote, quote)
    .replace(/\\([\s\S])/g, (_, letter: string) => escapes.get(letter) ?? letter)
  return `'${value.replaceAll("'", "''")}'`
}

export function statementKind (text: string): StatementKind {
  const withoutComments = text.replace(verbatimPattern, piece => /^['"`]/.test(piece) ? piece : ' ').trim().replace(/;\s*$/, '')
  const word = (/^\(*\s*([a-z_]+)/i.exec(withoutComments)?.[1] ?? '').toUpperCase()
  if (/^(BEGIN|START\s+TRANSACTION)\b/i.test(withoutComments)) return { kind: 'begin', readOnly: /\bREAD\s+ONLY\b/i.test(withoutComments) }
  if (word === 'COMMIT') return { kind: 'commit' }
  if (word === 'ROLLBACK') return /\bTO\b/i.test(withoutComments) ? { kind: 'unsupported', word } : { kind: 'rollback' }
  if (word === 'SET') return { kind: 'set' }
  const killedSession = /^KILL\s+(?:CONNECTION\s+)?(\d+)$/i.exec(withoutComments)?.[1]
  if (killedSession !== undefined) return { kind: 'kill', session: Number(killedSession) }
  if (word === 'CALL') return parseCall(withoutComments)
  if (unsupportedWords.includes(word)) return { kind: 'unsupported', word }
  return { kind: word === 'SELECT' || word === 'EXPLAIN' ? 'read' : 'write' }
}

function parseCall (statement: string): StatementKind {
  const call = /^CALL\s+([a-z_]+)\s*\(([\s\S]*)\)$/i.exec(statement)
  if (call === null) return { kind: 'unsupported', word: 'CALL' }
  const args = [...(call[2] ?? '').matchAll(/'((?:[^'\\]|\\[\s\S]|'')*)'|(-?\d+(?:\.\d+)?)/g)]
  return {
    kind: 'call',
    name: (call[1] ?? '').toLowerCase(),
    args: args.map(arg => arg[2] === undefined ? (arg[1] ?? '').replaceAll("''", "'").replace(/\\([\s\S])/g, '$1') : Number(arg[2]))
  }
}

/**
 * Service time that a comment in the statement sets, for tests of slow
 * statements.
 */
export function requestedServiceMs (text: string): number | undefined {
  const digits = /\/\*\s*service_ms=(\d+)\s*\*\//.exec(text)?.[1]
  return digits === undefined ? undefined : Number(digits)
}
