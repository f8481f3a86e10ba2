// The library: the decision modules of limpetmoor with their types. They open
// no sockets, read no clocks and draw no random numbers. An embedding program
// passes events to them and carries out their effects, as src/daemon does.

export * from './model/index.js'
export * from './pipe/index.js'
export * as request from './request/index.js'
export * as dispatch from './dispatch/index.js'
export * as schedule from './schedule/index.js'
export * as failover from './failover/index.js'
export * as members from './members/index.js'
export * as limits from './limits/index.js'
export * as leader from './leader/index.js'
export * as discovery from './discovery/index.js'
export * as config from './config/index.js'
