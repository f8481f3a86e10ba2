// The first set of encodings: MySQL on both sides, JSON-RPC between proxies,
// the product's own store over HTTP, the session token.

export * from './accepted-manifest.js'
export * from './database-client.js'
export { asError, asWireError, WireError, type WireFailure } from '../ports/index.js'
export * from './mysql-front.js'
export * from './mysql-ports.js'
export * from './peer-link.js'
export * from './platform-client.js'
export * from './session-token.js'
