// Guard against clients that use up memory or descriptors: budgets, the accounting
// of connections, and the bytes that sessions keep.

export * from './budget.js'
export * from './holder.js'
export * from './kept.js'
export * from './ledger.js'
