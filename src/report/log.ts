// Writes events through tslog: one line per event, within the event's rate limit.

import { Logger } from 'tslog'
import { redactKeys } from '../config/index.js'
import { initialLineBudget, decideLine } from './line-budget.js'
import { eventCatalogue, type EventFields, type EventLevel, type EventName } from './events.js'

/** The event log. */
export type EventLog = {
  readonly write: <N extends EventName>(name: N, fields: EventFields<N>) => void
}

/** Options of the event log. */
export type EventLogSpec = {
  readonly host: string
  readonly level: EventLevel
  readonly format: 'json' | 'text'
  /** Called with each formatted line. */
  readonly writeLine: (line: string) => void
  /** Bytes of earlier lines that the reader has not consumed yet. */
  readonly bufferedBytes: () => number
  readonly nowMs: () => number
}

/** Numbers of the levels in tslog. */
const levelNumbers: Readonly<Record<EventLevel, number>> = { debug: 2, info: 3, warn: 4, error: 5 }

/**
 * Creates an event log.
 * @param spec - the options
 * @returns the log
 */
export function eventLog (spec: EventLogSpec): EventLog {
  const logger = new Logger<Readonly<Record<string, unknown>>>({ type: 'hidden', hideLogPositionForProduction: true, minLevel: levelNumbers[spec.level], name: spec.host })
  logger.attachTransport(record => { spec.writeLine(redactKeys(formatLine(spec, record as unknown as LogRecord))) })
  let budget = initialLineBudget
  const writeUnlimited = (name: EventName, fields: object): void => {
    const { number, level } = eventCatalogue[name]
    logger.log(levelNumbers[level], level.toUpperCase(), { event: number, name, ...fields })
  }
  return {
    write (name, fields) {
      const decision = decideLine(budget, name, spec.bufferedBytes(), spec.nowMs())
      budget = decision.budget
      // Field `left`: name of the event whose lines were dropped.
      for (const [left, lines] of decision.droppedLastSecond) writeUnlimited('linesLeftOut', { left, lines })
      if (decision.isWritten) writeUnlimited(name, fields)
    }
  }
}

type LogRecord = Readonly<Record<string, unknown>> & {
  readonly _meta: { readonly date: Date, readonly logLevelName: string }
}

function formatLine (spec: EventLogSpec, record: LogRecord): string {
  const { _meta: meta, ...fields } = record
  const time = meta.date.toISOString()
  switch (spec.format) {
    case 'json': return JSON.stringify({ time, host: spec.host, level: meta.logLevelName, ...fields })
    case 'text': return `${time} ${spec.host} ${meta.logLevelName} ${Object.entries(fields).map(([field, value]) => `${field}=${String(value)}`).join(' ')}`
  }
}
