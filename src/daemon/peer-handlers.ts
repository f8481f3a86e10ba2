// Handlers of the calls from other proxies: each passes the call to the component that
// owns the state.

import type { PeerHandlers } from '../wire/peer-link.js'
import type { ProxyComponents } from './components.js'
import { localObservation } from './observation-relay.js'

/**
 * Creates the handlers.
 * @param components - the components of this proxy
 * @returns one handler for each method
 */
export function peerHandlers (components: ProxyComponents): PeerHandlers {
  const { configuration, databases, members, limits, reports } = components
  return {
    execute: async request => await databases.execute(request),
    cancel: async call => ({ accepted: databases.cancel(call) }),
    heartbeat: async from => {
      components.recordLeader(from)
      return await members.answerHeartbeat(from)
    },
    pullConfiguration: async ({ above }) => {
      const accepted = configuration.inForce()
      return { accepted: accepted !== undefined && accepted.generation > above ? accepted : undefined }
    },
    offerConfiguration: async ({ accepted }) => {
      configuration.receiveOffer(accepted)
      return { generation: configuration.advertised().generation }
    },
    listHosts: async ({ known }) => ({ list: members.list(known), from: components.localState() }),
    observe: async ({ database }) => ({ observation: localObservation(components.observationRelay, database) }),
    suspect: async ({ database, server }) => {
      databases.task(database)?.suspect(server)
      return { accepted: true }
    },
    listServers: async ({ known }) => ({ list: components.discovery?.list(known), from: components.localState(), evacuations: components.evacuation?.list() }),
    primaryChanged: async ({ view }) => {
      components.routing.recordPrimary(view)
      return { accepted: true }
    },
    borrow: async params => await limits.lend(params),
    resetLoans: async ({ from }) => await limits.resetLoans(from),
    report: async ({ report }) => ({ accepted: reports.collectReport(report) })
  }
}
