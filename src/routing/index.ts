// Routing by load: estimates of the servers' expected waits, and the choice between
// servers that may run a statement.

export * from './choice.js'
export * from './estimate.js'
