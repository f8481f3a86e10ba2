// Why the dispatcher of a server ends. Its open transactions end with it.

import type { DatabaseDeclaration, DatabaseName, ServerDeclaration, ServerName } from '../model/index.js'

/**
 * `serverGone`: the server is declared no more. `serverChanged`: its address, slots or
 * connection limit have changed. `databaseClosed`: its database is declared no more, is
 * unused here, or the host stops.
 */
export type DispatcherEndCause = 'serverGone' | 'serverChanged' | 'databaseClosed'

/** The end of a dispatcher. */
export type DispatcherEnd = {
  readonly database: DatabaseName
  readonly server: ServerName
  readonly cause: DispatcherEndCause
  /** Number of open transactions that it rolls back. */
  readonly transactions: number
}

/**
 * Decides whether a dispatcher ends with a change of its database.
 * @param before - the database as it was declared
 * @param after - the database as it is declared now
 * @param server - the dispatcher's server
 * @returns the cause, or undefined where it goes on
 */
export function endCauseOf (before: DatabaseDeclaration, after: DatabaseDeclaration, server: ServerName): DispatcherEndCause | undefined {
  const [previous, current] = [serverOf(before, server), serverOf(after, server)]
  if (current === undefined) return 'serverGone'
  const isSame = previous !== undefined && previous.ip === current.ip && previous.port === current.port && previous.slots === current.slots && previous.maxConnections === current.maxConnections
  return isSame ? undefined : 'serverChanged'
}

function serverOf (database: DatabaseDeclaration, name: ServerName): ServerDeclaration | undefined {
  return database.servers.find(server => server.name === name)
}
