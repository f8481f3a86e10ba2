// Ports that count the calls made through them.

import type { DatabaseDriver, DatabaseSession, LedgerCalls, ObjectStore, ProxyPorts } from '../ports/index.js'
import type { Activity } from '../report/index.js'
import type { PeerHandlers } from '../wire/peer-link.js'

/**
 * Counts the calls to the store and to the servers.
 * @param ports - the ports
 * @param activity - the counts
 * @returns the same ports, counted
 */
export function countedPorts (ports: ProxyPorts, activity: Activity): ProxyPorts {
  return { ...ports, store: countedStore(ports.store, activity), driver: countedDriver(ports.driver, activity) }
}

/**
 * Counts the calls from other proxies.
 * @param handlers - the handlers
 * @param activity - the counts
 * @returns the same handlers, counted
 */
export function countedHandlers (handlers: PeerHandlers, activity: Activity): PeerHandlers {
  const counted = Object.entries(handlers).map(([method, handle]) => [method, (params: never) => {
    activity.add('peerRequest', method)
    return (handle as (params: never) => Promise<unknown>)(params)
  }])
  return Object.fromEntries(counted) as PeerHandlers
}

function countedStore (store: ObjectStore, activity: Activity): ObjectStore {
  const add = (operation: string, kind: string): void => { activity.add('storeCall', `${operation}.${kind}`) }
  return {
    getObject: async (kind, name) => { add('get', kind); return await store.getObject(kind, name) },
    listObjects: async kind => { add('list', kind); return await store.listObjects(kind) },
    putObject: async (kind, name, version, value) => { add('put', kind); return await store.putObject(kind, name, version, value) },
    deleteObject: async (kind, name, version) => { add('delete', kind); await store.deleteObject(kind, name, version) },
    watch: async (kind, sinceRevision, waitMs) => { add('watch', kind); return await store.watch(kind, sinceRevision, waitMs) },
    ...(store.eras === undefined ? {} : { eras: store.eras }),
    close: () => { store.close() }
  }
}

function countedDriver (driver: DatabaseDriver, activity: Activity): DatabaseDriver {
  return {
    ...driver,
    async openSession (target, timers, timeoutMs) {
      activity.add('serverCall', 'open')
      return countedSession(await driver.openSession(target, timers, timeoutMs), activity)
    }
  }
}

function countedSession (session: DatabaseSession, activity: Activity): DatabaseSession {
  return {
    ...session,
    query: async (statement, timeoutMs) => { activity.add('serverCall', 'query'); return await session.query(statement, timeoutMs) },
    control: async (call, timeoutMs) => { activity.add('serverCall', call.kind); return await session.control(call, timeoutMs) },
    ledger: countedLedger(session.ledger, activity)
  }
}

function countedLedger (ledger: LedgerCalls, activity: Activity): LedgerCalls {
  const add = (): void => { activity.add('serverCall', 'status') }
  return {
    ...ledger,
    status: async timeoutMs => { add(); return await ledger.status(timeoutMs) },
    wait: async (lastStatus, waitMs, timeoutMs) => { add(); return await ledger.wait(lastStatus, waitMs, timeoutMs) }
  }
}
