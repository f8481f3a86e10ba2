// Compares docs/CONFIGURATION.md with the schemas of settings and manifest:
// every field, its allowed values and its default.

import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import * as z from 'zod'
import { manifestSchema, settingsSections } from '../../src/config/index.js'

type Row = readonly [field: string, allowed: string, standard: string]

/** A value that every field rejects. */
const nothingAllowed = Symbol('not allowed')

function allowedBy (schema: z.ZodType): string {
  const checked = schema.safeParse(nothingAllowed)
  return checked.error?.issues[0]?.message ?? assert.fail('the field accepts every value')
}

function standardOf (schema: z.ZodType): string {
  const checked = schema.safeParse(undefined)
  if (!checked.success) return 'required'
  return checked.data === undefined ? 'none' : JSON.stringify(checked.data)
}

function settingsRows (): readonly Row[] {
  return Object.entries(settingsSections).flatMap(([section, schema]) => {
    if (schema instanceof z.ZodRecord) return [[`${section}."ip:port"`, allowedBy(schema.valueType as z.ZodType), 'none'] as const]
    return Object.entries(schema.shape).map(([field, type]): Row => [`${section}.${field}`, allowedBy(type), standardOf(type)])
  })
}

function manifestRows (schema: z.ZodType, place: string): ReadonlyArray<readonly [string, string]> {
  if (schema instanceof z.ZodArray) return manifestRows(schema.element as z.ZodType, `${place}[]`)
  if (schema instanceof z.ZodDiscriminatedUnion) return [[place, allowedBy(schema)], ...schema.options.flatMap(option => manifestRows(option as z.ZodType, place))]
  if (!(schema instanceof z.ZodObject)) return schema instanceof z.ZodLiteral ? [] : [[place, allowedBy(schema)]]
  return Object.entries(schema.shape as Readonly<Record<string, z.ZodType>>).flatMap(([field, type]) => manifestRows(type, place === '' ? field : `${place}.${field}`))
}

function tableRows (title: string): ReadonlyArray<readonly string[]> {
  const page = readFileSync(new URL('../../../docs/CONFIGURATION.md', import.meta.url), 'utf8')
  const section = page.split('\n## ').find(part => part.startsWith(title)) ?? assert.fail(`the page has no section ${title}`)
  return section.split('\n').filter(line => line.startsWith('| ')).slice(2).map(line => line.slice(2, -2).split(' | '))
}

function assertExplained (rows: ReadonlyArray<readonly string[]>): void {
  for (const row of rows) assert.ok((row.at(-1) ?? '').length > 10, `no explanation: ${row[0] ?? ''}`)
}

test('CONFIGURATION.md lists every setting as the schema defines it', () => {
  const rows = tableRows('Settings')
  assert.deepEqual(rows.map(row => row.slice(0, 3)), settingsRows())
  assertExplained(rows)
})

test('CONFIGURATION.md lists every field of the manifest as the schema defines it', () => {
  const rows = tableRows('Manifest')
  assert.deepEqual(rows.map(row => row.slice(0, 2)), manifestRows(manifestSchema, ''))
  assertExplained(rows)
})
