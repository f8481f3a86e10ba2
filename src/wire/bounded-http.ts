// Bounds of the small HTTP servers for probes and metrics, whose clients send no body:
// few connections, of which the oldest is closed for a new one, and short deadlines.

import type * as http from 'node:http'
import type net from 'node:net'

/** Connections of one server; a balancer and a few collectors use some ten. */
const maxConnections = 64
const requestTimeoutMs = 5000
const checkMs = 1000

/** Options of a bounded server. */
export const boundedHttpOptions: http.ServerOptions = {
  headersTimeout: requestTimeoutMs,
  requestTimeout: requestTimeoutMs,
  keepAliveTimeout: requestTimeoutMs,
  connectionsCheckingInterval: checkMs
}

/**
 * Bounds the connections of a server.
 * @param server - the server
 * @returns the server
 */
export function boundConnections (server: http.Server): http.Server {
  const open = new Set<net.Socket>()
  server.on('connection', socket => {
    const [oldest] = open
    if (open.size >= maxConnections) oldest?.destroy()
    if (oldest?.destroyed === true) open.delete(oldest)
    open.add(socket)
    socket.on('close', () => { open.delete(socket) })
  })
  return server
}
