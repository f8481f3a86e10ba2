// Writes events through tslog: one line an event, within a budget of lines.

import { Logger } from 'tslog'
import { redactKeys } from '../config/index.js'
import { freshBudget, judgeLine } from './line-budget.js'
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
  /** Bytes of earlier lines that nobody has read yet. */
  readonly waitingBytes: () => number
  readonly nowMs: () => number
}

/** tslog's numbers of the levels. */
const levelNumbers: Readonly<Record<EventLevel, number>> = { debug: 2, info: 3, warn: 4, error: 5 }

/**
 * Makes an event log.
 * @param spec - how events are written
 * @returns the log
 */
export function eventLog (spec: EventLogSpec): EventLog {
  const logger = new Logger<Readonly<Record<string, unknown>>>({ type: 'hidden', hideLogPositionForProduction: true, minLevel: levelNumbers[spec.level], name: spec.host })
  logger.attachTransport(record => { spec.writeLine(redactKeys(lineOf(spec, record as unknown as LogRecord))) })
  let budget = freshBudget
  const writeNow = (name: EventName, fields: object): void => {
    const { number, level } = eventCatalogue[name]
    logger.log(levelNumbers[level], level.toUpperCase(), { event: number, name, ...fields })
  }
  return {
    write (name, fields) {
      const verdict = judgeLine(budget, name, spec.waitingBytes(), spec.nowMs())
      budget = verdict.budget
      for (const [left, lines] of verdict.leftOut) writeNow('linesLeftOut', { left, lines })
      if (verdict.isWritten) writeNow(name, fields)
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
