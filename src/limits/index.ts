// Rate limits: across all hosts, no account exceeds its rate and burst.

export * from './limits.js'
export type { AdmissionMode } from './delegation.js'
export { partitionHandoverMs } from './settings.js'
export * from './division.js'
export * from './partition-plan.js'
export * from './partitions.js'
export { limitsTickMs } from './settings.js'
