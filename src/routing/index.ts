// Routing by load: estimates of the servers' expected waits, ejection of servers whose
// statements fail, and the choice between servers that may run a statement.

export * from './choice.js'
export * from './ejection.js'
export * from './estimate.js'
