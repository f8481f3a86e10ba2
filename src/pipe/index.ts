// What every part is built from: mailboxes, tasks, filters, time.

export * from './mailbox.js'
export * from './task.js'
export * from './reply.js'
export * from './filter.js'
export * from './timer.js'
export * from './deadline.js'
export * from './snapshot.js'
