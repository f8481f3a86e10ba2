// Scheduling of statements for the slots of a server.

export * from './ordered-map.js'
export * from './retry-hint.js'
export * from './scheduler.js'
export { serverLoadOf } from './expected-wait.js'
export { compareNames } from './schedule-class.js'
export type { OfferedStatement, SchedulerEffect, SchedulerEvent, SchedulerSettings, SchedulerState } from './state.js'
