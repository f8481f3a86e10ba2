// Everything that knows an encoding: MySQL on both sides, JSON-RPC between
// proxies, the platform's HTTP, the session token.

export * from './database-client.js'
export * from './errors.js'
export * from './mysql-front.js'
export * from './peer-link.js'
export * from './platform-client.js'
export * from './platform-update.js'
export * from './session-token.js'
