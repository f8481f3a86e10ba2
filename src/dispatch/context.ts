// The context of a server session: values that were set on it and statements
// that were prepared. Callers' sessions move between server sessions, so before
// a statement runs its server session is brought into line: it must hold
// exactly the values that the caller has set, and the prepared statement that is
// to run. Prepared statements stand under names made from what they run, so
// callers whose own names collide share them.

import type { PreparedStatement, SessionValues } from '../model/index.js'

/** What a server session holds. */
export type ServerContext = {
  readonly values: SessionValues
  /** Server-side names of prepared statements. */
  readonly prepared: ReadonlySet<string>
}

/** One step that changes the context of a server session. */
export type ContextStep =
  /** Drops all values and prepared statements. */
  | { readonly kind: 'reset' }
  | { readonly kind: 'setValue', readonly name: string, readonly value: string }
  | { readonly kind: 'prepare', readonly statement: PreparedStatement }

/** A fresh session. */
export const emptyContext: ServerContext = { values: {}, prepared: new Set() }

/** What a statement needs of its server session. */
export type NeededContext = {
  readonly values: SessionValues
  readonly prepared: PreparedStatement | undefined
}

/**
 * Names a prepared statement on a server session.
 * @param statement - what it runs
 * @returns the name, the same for the same statement
 */
export function preparedStatementName (statement: PreparedStatement): string {
  return `${statement.access === 'read' ? 'r' : 'w'}${statement.shape}`
}

/**
 * Lists the steps that bring a server session into line.
 * @param held - what the session holds
 * @param needed - what the statement needs
 * @returns the steps in their order
 */
export function stepsTo (held: ServerContext, needed: NeededContext): readonly ContextStep[] {
  const isStale = Object.keys(held.values).some(name => needed.values[name] === undefined)
  const base = isStale ? emptyContext : held
  const sets = Object.entries(needed.values)
    .filter(([name, value]) => base.values[name] !== value)
    .map(([name, value]): ContextStep => ({ kind: 'setValue', name, value }))
  const { prepared } = needed
  const prepares: readonly ContextStep[] = prepared === undefined || base.prepared.has(preparedStatementName(prepared)) ? [] : [{ kind: 'prepare', statement: prepared }]
  return [...(isStale ? [{ kind: 'reset' } as const] : []), ...sets, ...prepares]
}

/**
 * Takes a step that the server carried out.
 * @param context - what the session held
 * @param step - the step
 * @returns what it holds now
 */
export function applyContextStep (context: ServerContext, step: ContextStep): ServerContext {
  switch (step.kind) {
    case 'reset': return emptyContext
    case 'setValue': return { ...context, values: { ...context.values, [step.name]: step.value } }
    case 'prepare': return { ...context, prepared: new Set(context.prepared).add(preparedStatementName(step.statement)) }
  }
}

/**
 * Tells how many steps a session is away from the values of a caller.
 * @param held - what the session holds
 * @param values - what the caller has set
 * @returns the number of steps
 */
export function contextDistance (held: ServerContext, values: SessionValues): number {
  return stepsTo(held, { values, prepared: undefined }).length
}
