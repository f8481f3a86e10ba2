// Building blocks of all components: mailboxes, tasks, filters, snapshots,
// timers. A pipe is a chain of filters; a task runs a state machine whose step
// turns a state and an event into the next state and its effects.

export * from './mailbox.js'
export * from './task.js'
export * from './reply.js'
export * from './filter.js'
export * from './timer.js'
export * from './deadline.js'
export * from './ids.js'
export * from './snapshot.js'
