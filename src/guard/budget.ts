// Budgets of a process, from the memory that it may use. What clients send is copied
// while it is worked on: parsed, encoded for another host and held for a retry, so
// the bytes counted here are an eighth of the memory that the runtime leaves.

/** Bounds that the guard applies. */
export type GuardLimits = {
  /** Bytes received from clients and answers not read by them, over all connections. */
  readonly budgetBytes: number
  /** Session values and prepared statements, over all sessions. */
  readonly keptBytes: number
  /** Session values and prepared statements of one session. */
  readonly keptSessionBytes: number
  readonly maxCallers: number
  readonly loginMs: number
  /** Longest time from the first byte of a message to its last. */
  readonly messageMs: number
  /** Longest time in which an answer has to be read. */
  readonly unreadMs: number
}

/** What the machine and the runtime grant to the process. */
export type GrantedMemory = {
  /** Memory of the machine, of the control group, or of the setting. */
  readonly memoryBytes: number
  /** Heap limit of the runtime. */
  readonly heapBytes: number
  /** Largest number of open descriptors. */
  readonly descriptors: number
}

/** Bounds of the settings. */
export type GuardSettings = Pick<GuardLimits, 'loginMs' | 'messageMs' | 'unreadMs'> & { readonly maxConnections: number }

const mebibyte = 1024 * 1024
/** A received message has some four copies at its peak, and half the heap is not the clients'. */
const budgetFraction = 1 / 8
/** The runtime's young generation (48 MiB) and the program itself. */
const runtimeBytes = 64 * mebibyte
/** A session value of 1 MiB has to fit into a quarter, whatever the memory. */
const minBudgetBytes = 6 * mebibyte
const keptFraction = 1 / 2
/** Fraction of all kept bytes that one session may have. */
const keptSessionFraction = 1 / 2
/** Descriptors for the store, servers, peers and files, at most half of all. */
const reservedDescriptors = 512

/**
 * Derives the bounds of the guard.
 * @param granted - memory and descriptors of the process
 * @param settings - bounds of the settings
 * @returns the bounds
 */
export function guardLimits (granted: GrantedMemory, settings: GuardSettings): GuardLimits {
  const budgetBytes = Math.max(minBudgetBytes, Math.floor((Math.min(granted.memoryBytes, granted.heapBytes) - runtimeBytes) * budgetFraction))
  const keptBytes = Math.floor(budgetBytes * keptFraction)
  return {
    budgetBytes,
    keptBytes,
    keptSessionBytes: Math.floor(keptBytes * keptSessionFraction),
    maxCallers: Math.max(1, Math.min(settings.maxConnections, granted.descriptors - Math.min(reservedDescriptors, Math.ceil(granted.descriptors / 2)))),
    loginMs: settings.loginMs,
    messageMs: settings.messageMs,
    unreadMs: settings.unreadMs
  }
}
