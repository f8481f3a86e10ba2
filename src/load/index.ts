// Load of the host's own processor, and what it refuses while it is overloaded.

export * from './host-load.js'
export * from './shedding.js'
