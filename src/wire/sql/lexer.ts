// Splits a statement into tokens, as far as classifying needs: words, quoted
// texts and symbols, without plain comments. It never has to understand SQL;
// where it cannot tell, the classifier takes the statement for a write.

/** One token of a statement. */
export type Token =
  | { readonly kind: 'word', readonly text: string }
  | { readonly kind: 'variable', readonly text: string }
  | { readonly kind: 'string', readonly text: string }
  | { readonly kind: 'identifier' }
  | { readonly kind: 'number', readonly text: string }
  | { readonly kind: 'symbol', readonly text: string }
  /** A comment that servers execute, or a quote that never ends. */
  | { readonly kind: 'opaque' }

const patterns = {
  space: /\s+/y,
  lineComment: /(?:#|--(?=\s|$))[^\n]*/y,
  executableComment: /\/\*[!+][\s\S]*?(?:\*\/|$)/y,
  comment: /\/\*[\s\S]*?\*\//y,
  string: /'(?:[^'\\]|\\[\s\S]|'')*'|"(?:[^"\\]|\\[\s\S]|"")*"/y,
  identifier: /`(?:[^`]|``)*`/y,
  variable: /@{1,2}[A-Za-z0-9_.$]*/y,
  number: /[0-9]+(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?(?![A-Za-z0-9_$])/y,
  word: /[A-Za-z0-9_$\u0080-\uffff]+/y
} as const

type PatternName = keyof typeof patterns

/** Names in the order in which they are tried. */
const order = Object.keys(patterns) as readonly PatternName[]

/**
 * Splits a statement into tokens.
 * @param sql - the statement
 * @returns the tokens, words in upper case
 */
export function tokenize (sql: string): readonly Token[] {
  const tokens: Token[] = []
  let at = 0
  while (at < sql.length) {
    const match = matchAt(sql, at)
    const token = tokenFor(match.name, match.text)
    if (token !== undefined) tokens.push(token)
    at += match.text.length
  }
  return tokens
}

type Match = { readonly name: PatternName | 'symbol', readonly text: string }

function matchAt (sql: string, at: number): Match {
  for (const name of order) {
    const pattern = patterns[name]
    pattern.lastIndex = at
    const text = pattern.exec(sql)?.[0]
    if (text !== undefined && text !== '') return { name, text }
  }
  return { name: 'symbol', text: sql[at] ?? '' }
}

function tokenFor (name: Match['name'], text: string): Token | undefined {
  switch (name) {
    case 'space':
    case 'lineComment':
    case 'comment': return undefined
    case 'executableComment': return { kind: 'opaque' }
    case 'string': return { kind: 'string', text: text.slice(1, -1) }
    case 'identifier': return { kind: 'identifier' }
    case 'variable': return { kind: 'variable', text: text.toLowerCase() }
    case 'number': return { kind: 'number', text }
    case 'word': return { kind: 'word', text: text.toUpperCase() }
    case 'symbol': return ['\'', '"', '`'].includes(text) ? { kind: 'opaque' } : { kind: 'symbol', text }
  }
}
