// Reads the values that the platform's store holds. A value of another form
// is taken for none.

import * as z from 'zod'
import type { PrimaryView } from '../model/index.js'
import type { PartitionTable } from '../limits/index.js'

const primarySchema = z.object({ database: z.string(), term: z.int(), primary: z.string().optional() })
const seatsSchema = z.object({ seats: z.array(z.object({ host: z.string(), incarnation: z.string() }).nullable()) })

/**
 * Reads who leads a database; throws where the value has another form.
 * @param value - the stored value
 * @returns the view
 */
export function decodePrimary (value: unknown): PrimaryView {
  const { database, term, primary } = primarySchema.parse(value)
  return { database, term, primary }
}

/**
 * Reads a table of seats.
 * @param value - the stored value
 * @returns the table, or undefined
 */
export function decodePartitionTable (value: unknown): PartitionTable | undefined {
  const parsed = seatsSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}
