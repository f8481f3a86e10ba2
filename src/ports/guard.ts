// The port through which the owners of sockets report to the guard of the process.

import type { HolderKind, HolderPhase, HolderUse } from '../guard/index.js'

/** What the guard may do to a connection; its owner supplies it. */
export type ConnectionControls = {
  readonly pause: () => void
  readonly resume: () => void
  /** Closes the connection at once. */
  readonly close: () => void
}

/** Where the owner of a connection reports what it holds. */
export type GuardedConnection = {
  readonly report: (use: HolderUse) => void
  readonly enter: (phase: HolderPhase) => void
  /** Reports that the connection has closed. */
  readonly closed: () => void
}

/** The guard, for the owners of sockets. */
export type ConnectionGuard = {
  /** Announces a connection; undefined where there is no room for it. */
  readonly open: (kind: HolderKind, controls: ConnectionControls) => GuardedConnection | undefined
}
