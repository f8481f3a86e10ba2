// Decoders of values in the platform's store.

import * as z from 'zod'
import type { PrimaryView } from '../model/index.js'
import type { PartitionTable } from '../limits/index.js'

const primarySchema = z.object({ database: z.string(), term: z.int(), primary: z.string().optional() })
// `seats` is the stored name of the partitions, see PartitionTable.
const partitionTableSchema = z.object({ seats: z.array(z.object({ host: z.string(), incarnation: z.string() }).nullable()), era: z.int().optional(), isSettled: z.boolean().optional() })

/**
 * Decodes the primary of a database; throws where the value has another form.
 * @param value - the stored value
 * @returns the primary and its term
 */
export function decodePrimary (value: unknown): PrimaryView {
  const { database, term, primary } = primarySchema.parse(value)
  return { database, term, primary }
}

/**
 * Decodes a quota partition table.
 * @param value - the stored value
 * @returns the table, or undefined where the value has another form
 */
export function decodePartitionTable (value: unknown): PartitionTable | undefined {
  const parsed = partitionTableSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}
