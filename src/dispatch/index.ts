// The home of a server: the pipe that runs statements on it.

export * from './context.js'
export * from './message.js'
export * from './pipe.js'
export * from './request-id.js'
export * from './run.js'
export * from './server-session.js'
