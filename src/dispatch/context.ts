// The context of a server session: its session values and prepared statements.
// Callers' sessions move between server sessions, so before a statement runs,
// its server session is given exactly the values that the caller has set, and
// the prepared statement to run. The name of a prepared statement on a server
// is derived from its content, so callers that use the same name for different
// statements do not collide, and equal statements are prepared once.

import { createHash } from 'node:crypto'
import type { PreparedStatement, SessionValues } from '../model/index.js'

/** Values and prepared statements of a server session. */
export type ServerContext = {
  readonly values: SessionValues
  /** Server-side names of prepared statements. */
  readonly prepared: ReadonlySet<string>
}

/** One step that changes the context of a server session. */
export type ContextStep =
  /** Removes all values and prepared statements. */
  | { readonly kind: 'reset' }
  | { readonly kind: 'setValue', readonly name: string, readonly value: string }
  | { readonly kind: 'prepare', readonly statement: PreparedStatement }

/** Context of a new session. */
export const emptyContext: ServerContext = { values: {}, prepared: new Set() }

/** Context that a statement requires of its server session. */
export type RequiredContext = {
  readonly values: SessionValues
  readonly prepared: PreparedStatement | undefined
}

/** Shapes that are part of the name; of others the name holds a digest. */
const plainShape = /^[A-Za-z0-9_.-]{1,64}$/

/**
 * Returns the name of a prepared statement on a server session, which is one word
 * of bounded length whatever the shape holds. `shape` is the definition without the
 * access keyword, so both together identify it.
 * @param statement - the prepared statement
 * @returns the name, equal for equal statements only
 */
export function preparedStatementName (statement: PreparedStatement): string {
  const { access, shape } = statement
  if (plainShape.test(shape)) return `${access === 'read' ? 'r' : 'w'}${shape}`
  const digest = createHash('sha256').update(shape).digest('hex')
  return `${access === 'read' ? 'R' : 'W'}${digest}`
}

/**
 * Lists the steps that give a server session the required context.
 * @param current - the session's context
 * @param required - the context that the statement requires
 * @returns the steps in order
 */
export function contextSteps (current: ServerContext, required: RequiredContext): readonly ContextStep[] {
  // Own names only: a caller may choose a name that every object inherits.
  const mustReset = Object.keys(current.values).some(name => !Object.hasOwn(required.values, name))
  const base = mustReset ? emptyContext : current
  const valueSteps = Object.entries(required.values)
    .filter(([name, value]) => base.values[name] !== value)
    .map(([name, value]): ContextStep => ({ kind: 'setValue', name, value }))
  const { prepared } = required
  const prepareSteps: readonly ContextStep[] = prepared === undefined || base.prepared.has(preparedStatementName(prepared)) ? [] : [{ kind: 'prepare', statement: prepared }]
  return [...(mustReset ? [{ kind: 'reset' } as const] : []), ...valueSteps, ...prepareSteps]
}

/**
 * Applies a step that the server has executed.
 * @param context - the session's context before
 * @param step - the step
 * @returns the session's context after the step
 */
export function applyContextStep (context: ServerContext, step: ContextStep): ServerContext {
  switch (step.kind) {
    case 'reset': return emptyContext
    case 'setValue': return { ...context, values: { ...context.values, [step.name]: step.value } }
    case 'prepare': return { ...context, prepared: new Set(context.prepared).add(preparedStatementName(step.statement)) }
  }
}

/**
 * Counts the steps that give a session the required context. Each step is a round trip
 * to the server before the statement can be sent.
 * @param current - the session's context
 * @param required - the context that the statement requires
 * @returns the number of steps
 */
export function contextDistance (current: ServerContext, required: RequiredContext): number {
  return contextSteps(current, required).length
}
