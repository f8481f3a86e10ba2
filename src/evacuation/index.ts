// Evacuation of failure domains on request of the operators.

export * from './evacuations.js'
export * from './servers.js'
