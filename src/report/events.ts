// The catalogue of events. Each event has a number that never changes, a level
// and typed fields; docs/EVENTS.md lists them for operators. No field ever holds
// a key, a digest or a password. Log lines contain the names of events and
// fields as written here. `duty` is the leader lease, `live` the number of
// responsive hosts, `listed` the number of listed hosts, `forgotten` the removed
// host, `what` the data that a store call concerned, and `left` the event whose
// lines were dropped.

/** Severity of an event. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error'

/** Definition of an event. */
export type EventDefinition = {
  readonly number: number
  readonly level: EventLevel
  /** Description for operators, with the action to take where there is one. */
  readonly meaning: string
  readonly fields: readonly string[]
}

/** All events by name. */
export const eventCatalogue = {
  started: defineEvent(1001, 'info', 'The process listens for callers and for other proxies.', ['host', 'callerPort', 'peerPort']),
  stopping: defineEvent(1002, 'info', 'The process received a stop signal; it accepts no new callers and finishes the work in progress.', ['host', 'callers']),
  stopped: defineEvent(1003, 'info', 'The process has finished its work and exits.', ['host']),
  stopOverdue: defineEvent(1004, 'warn', 'Callers were still connected near the end of the grace period; their connections are closed.', ['host', 'callers']),
  taskFailed: defineEvent(1005, 'error', 'A task caught an unexpected error and continues. Report it as a bug in limpetmoor.', ['task', 'error']),
  reloadAsked: defineEvent(1007, 'info', 'SIGHUP received: the settings file has changed. The process continues with the settings that it started with; restart it to apply new ones.', ['host']),
  transactionsRolledBack: defineEvent(1008, 'warn', 'Half of the grace period of a planned stop was over; the transactions that were still open on this host are rolled back, and their callers get the error at their next statement.', ['host', 'transactions']),
  activity: defineEvent(1009, 'info', 'What this process did in the last reporting period: processor time, iterations of its event loop, and counts of timers, statements, decisions of the rate limiter (`admission`: admitted, delegated to the dispatcher, refused) and calls by kind.', ['periodMs', 'cpuMs', 'wakes', 'counts']),
  hostLoadChanged: defineEvent(1010, 'warn', 'The load of this host has changed: `normal`, `busy` (background work runs less often) or `overloaded` (the least urgent new statements are refused). `lagMs` is how late its event loop is, `cpuPercent` its processor time in relation to `host.cpu_share`.', ['load', 'lagMs', 'cpuPercent']),
  manifestApplied: defineEvent(2001, 'info', 'A manifest is in force on this host.', ['generation']),
  manifestRejected: defineEvent(2002, 'error', 'A manifest was rejected as a whole; the previous one stays in force. Apply a corrected one.', ['generation', 'errors']),
  confirmationLost: defineEvent(2003, 'warn', 'Neither the store nor a majority of the quorum has confirmed the configuration recently; authenticated statements are rejected.', ['generation']),
  confirmationRegained: defineEvent(2004, 'info', 'The configuration is confirmed again; authenticated statements are served.', ['generation']),
  linesLeftOut: defineEvent(1006, 'warn', 'Lines of an event were dropped, because there were too many in one second or the log was not read fast enough.', ['left', 'lines']),
  loginRefused: defineEvent(3001, 'warn', 'The login of a caller was refused.', ['account', 'route', 'reason', 'generation']),
  statementNotServed: defineEvent(3002, 'warn', 'A statement did not succeed: it was refused, was not run, failed, or has an unknown outcome. `tookMs` is the time spent on this host, `generation` the configuration that applied to the statement.', ['request', 'account', 'route', 'statement', 'outcome', 'reason', 'detail', 'tookMs', 'generation']),
  connectionClosed: defineEvent(3003, 'warn', 'A connection was closed to protect memory or descriptors: `memory` (the budget is used up), `connections` (room for a new one), `loginOverdue`, `messageOverdue`, `answerUnread`, or `lingering` (the other side did not close). Find out which client sends so if it goes on.', ['reason']),
  primaryChanged: defineEvent(4001, 'warn', 'The primary of a database has changed, or is no longer known.', ['database', 'term', 'primary']),
  serverConnectionFailed: defineEvent(4002, 'warn', 'A connection to a database server failed.', ['server', 'failure']),
  promotionOrdered: defineEvent(4003, 'warn', 'This host ordered the platform to promote a server. A refused order was not carried out; one with an unknown result may still take effect.', ['database', 'server', 'token', 'result']),
  serversChanged: defineEvent(4004, 'info', 'The list of registered servers has changed.', ['servers']),
  serverEntryIgnored: defineEvent(4005, 'warn', 'An entry among the registered servers is not one of a server, and is ignored. Find out which program wrote it.', ['entry']),
  serverStateChanged: defineEvent(4006, 'info', 'A registered server has announced that it leaves, or counts as active again. `source` is the store or the host whose list showed it, `listAgeMs` the age of that list when it was received.', ['server', 'database', 'state', 'source', 'listAgeMs']),
  promotionProgress: defineEvent(4007, 'info', 'Progress of the promotion that a database needs, on the host that drives it: the step of the current attempt, or why a new primary is needed and what the next attempt waits for.', ['database', 'progress', 'reason', 'waitsFor']),
  serverEjected: defineEvent(4020, 'warn', 'Statements at a server failed, timed out or were refused as busy; this host sends it no reads for the pause, and then a growing share of them. `failedPercent` is the percentage of failures in the last seconds.', ['database', 'server', 'failedPercent', 'pauseMs']),
  serverReturned: defineEvent(4021, 'info', 'A server that was ejected gets its whole share of the reads of this host again.', ['database', 'server']),
  dispatcherEnded: defineEvent(4022, 'info', 'This host no longer dispatches for a server: `serverGone` (it left the list), `serverChanged` (another address, number of slots or connection limit) or `databaseClosed` (removed, not used here, or the host stops). Its open transactions are rolled back, and their callers get the error at their next statement.', ['database', 'server', 'cause', 'transactions']),
  evacuationBegun: defineEvent(4101, 'warn', 'An operator requested the evacuation of a failure domain: its servers get nothing new within `control.evacuate_ms`, until the request is removed. `sinceAgoMs` is the longest possible time since the request.', ['domain', 'sinceAgoMs']),
  evacuationEnded: defineEvent(4102, 'info', 'The evacuation of a failure domain has ended; its servers may get statements again.', ['domain']),
  evacuationIgnored: defineEvent(4103, 'warn', 'The evacuation of a name was requested that is no failure domain of a server or host; it has no effect. Remove the request.', ['domain']),
  coldLimitChanged: defineEvent(4104, 'info', 'The number of statements that this host, as the dispatcher of a cold server, starts there in a second. `none`: the server is no longer cold.', ['server', 'perS']),
  paceFell: defineEvent(4105, 'info', 'The number of statements that this host, as the dispatcher of a server, gives it at once has fallen, to `slots`: the server was busy, failed or became slow. It rises again with good answers.', ['server', 'cause', 'slots']),
  membersChanged: defineEvent(5001, 'info', 'The set of responsive hosts has changed.', ['live', 'listed']),
  hostForgotten: defineEvent(5002, 'info', 'The entry of a host that was unresponsive for a long time was removed from the registry.', ['forgotten']),
  dutyTaken: defineEvent(5003, 'info', 'This host acquired the leader lease, which allows it to order promotions.', ['token']),
  dutyLost: defineEvent(5004, 'warn', 'This host no longer holds the leader lease.', ['token']),
  placementChanged: defineEvent(5020, 'info', 'How dispatchers are placed on the hosts: `weighted` by capacity, once all listed hosts state that they support it and their capacities differ; else `unweighted`.', ['placement']),
  storeUnreachable: defineEvent(6001, 'warn', 'A call to the platform store failed and is retried.', ['what']),
  storeRestored: defineEvent(6002, 'warn', 'The answers of the store show a higher era: it was restored from a copy, and what was written since the copy is lost. Check that the operator has written the newest configuration again.', ['era']),
  storeEraSettled: defineEvent(6003, 'info', 'No host acts on an earlier era of the store any more; quota partitions that moved with the restore are used again.', ['era']),
  storeEraIgnored: defineEvent(6004, 'warn', 'Answers of the store had a lower era than earlier ones, or none that is a whole number; it is ignored. Logged at each power of two of the number of such answers.', ['ignored'])
} as const satisfies Readonly<Record<string, EventDefinition>>

/** Name of an event. */
export type EventName = keyof typeof eventCatalogue

/** Field values of an event. */
export type EventFields<N extends EventName> = Readonly<Record<(typeof eventCatalogue)[N]['fields'][number], string | number>>

function defineEvent<const F extends readonly string[]> (number: number, level: EventLevel, meaning: string, fields: F): { readonly number: number, readonly level: EventLevel, readonly meaning: string, readonly fields: F } {
  return { number, level, meaning, fields }
}
