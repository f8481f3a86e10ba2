// Eras of the store over the fleet: when no host acts on an earlier one any more.

export * from './settling.js'
