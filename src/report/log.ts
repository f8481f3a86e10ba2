// Writes events through tslog: one line an event, to the standard error.

import { Logger } from 'tslog'
import { withoutKeys } from '../config/index.js'
import { eventCatalogue, type EventFields, type EventLevel, type EventName } from './events.js'

/** Writes events. */
export type EventLog = {
  readonly write: <N extends EventName>(name: N, fields: EventFields<N>) => void
}

/** How events are written. */
export type EventLogSpec = {
  readonly host: string
  readonly level: EventLevel
  readonly format: 'json' | 'text'
  /** Takes each finished line. */
  readonly writeLine: (line: string) => void
}

/** tslog's numbers of the levels. */
const levelNumbers: Readonly<Record<EventLevel, number>> = { debug: 2, info: 3, warn: 4, error: 5 }

/**
 * Makes an event log.
 * @param spec - how events are written
 * @returns the log
 */
export function eventLog (spec: EventLogSpec): EventLog {
  const logger = new Logger<Readonly<Record<string, unknown>>>({ type: 'hidden', minLevel: levelNumbers[spec.level], name: spec.host })
  logger.attachTransport(record => { spec.writeLine(withoutKeys(lineOf(spec, record as unknown as LogRecord))) })
  return {
    write (name, fields) {
      const { number, level } = eventCatalogue[name]
      logger.log(levelNumbers[level], level.toUpperCase(), { event: number, name, ...fields })
    }
  }
}

type LogRecord = Readonly<Record<string, unknown>> & {
  readonly _meta: { readonly date: Date, readonly logLevelName: string }
}

function lineOf (spec: EventLogSpec, record: LogRecord): string {
  const { _meta: meta, ...fields } = record
  const time = meta.date.toISOString()
  switch (spec.format) {
    case 'json': return JSON.stringify({ time, host: spec.host, level: meta.logLevelName, ...fields })
    case 'text': return `${time} ${spec.host} ${meta.logLevelName} ${Object.entries(fields).map(([field, value]) => `${field}=${String(value)}`).join(' ')}`
  }
}
