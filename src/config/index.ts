// Settings of a host, the manifest of the fleet, keys, access checks, and the
// decisions of the configuration state machine, which brings accepted manifests
// into force.

export * from './settings.js'
export * from './manifest.js'
export * from './keys.js'
export * from './configuration.js'
export * from './access.js'
