// Settings of a host, the manifest of the fleet, keys, and the decisions of
// the control pipe that brings every accepted manifest into force.

export * from './settings.js'
export * from './manifest.js'
export * from './keys.js'
export * from './configuration.js'
export * from './access.js'
