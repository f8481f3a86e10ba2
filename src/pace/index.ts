// Limits in front of a server's slots that depend on the state of the server.

export * from './cold.js'
export * from './gate.js'
export * from './pace.js'
export * from './sole.js'
