// Encodings: MySQL for callers and servers, JSON-RPC between proxies, HTTP for
// the product's own store, and the session token.

export * from './accepted-manifest.js'
export * from './database-client.js'
export { asError, asWireError, WireError, type WireFailure } from '../ports/index.js'
export * from './mysql-front.js'
export * from './mysql-ports.js'
export * from './peer-link.js'
export * from './platform-client.js'
export * from './session-token.js'
