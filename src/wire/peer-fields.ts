// Checks of single values in messages between proxies, as strict as those of
// src/wire/peer-schema.ts. Each returns the value as its type, or throws
// `unrecognized`; whoever reads a message then leaves it to the schema.

import type { Access } from '../model/index.js'

/** Thrown for a value that does not match. One object, because nothing reads its stack. */
export const unrecognized = new Error('unrecognized value in a message')

/** Fields of a received object. */
export type Fields = Readonly<Record<string, unknown>>

/**
 * Checks for an object.
 * @param value - the received value
 * @returns its fields
 */
export function fieldsOf (value: unknown): Fields {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) throw unrecognized
  return value as Fields
}

/**
 * Checks for an array.
 * @param value - the received value
 * @returns the array
 */
export function listOf (value: unknown): readonly unknown[] {
  if (!Array.isArray(value)) throw unrecognized
  return value
}

/**
 * Checks for a text.
 * @param value - the received value
 * @returns the text
 */
export function textOf (value: unknown): string {
  if (typeof value !== 'string') throw unrecognized
  return value
}

/**
 * Checks for a name.
 * @param value - the received value
 * @returns the name, which is not empty
 */
export function nameOf (value: unknown): string {
  if (typeof value !== 'string' || value === '') throw unrecognized
  return value
}

/**
 * Checks for a truth value.
 * @param value - the received value
 * @returns the truth value
 */
export function booleanOf (value: unknown): boolean {
  if (typeof value !== 'boolean') throw unrecognized
  return value
}

/**
 * Checks for a number. A JSON text may hold one that is too large and read as
 * infinite.
 * @param value - the received value
 * @returns the number, which is finite
 */
export function numberOf (value: unknown): number {
  if (typeof value !== 'number' || !Number.isFinite(value)) throw unrecognized
  return value
}

/**
 * Checks for a number of at least 0.
 * @param value - the received value
 * @returns the number
 */
export function amountOf (value: unknown): number {
  const amount = numberOf(value)
  if (amount < 0) throw unrecognized
  return amount
}

/**
 * Checks for a number above 0.
 * @param value - the received value
 * @returns the number
 */
export function positiveOf (value: unknown): number {
  const amount = numberOf(value)
  if (amount <= 0) throw unrecognized
  return amount
}

/**
 * Checks for a whole number of at least 0.
 * @param value - the received value
 * @returns the number
 */
export function countOf (value: unknown): number {
  if (!Number.isSafeInteger(value) || (value as number) < 0) throw unrecognized
  return value as number
}

/**
 * Checks for one of several texts.
 * @param values - the possible texts
 * @param value - the received value
 * @returns the text
 */
export function oneOf<T extends string> (values: readonly T[], value: unknown): T {
  if (!values.includes(value as T)) throw unrecognized
  return value as T
}

/**
 * Checks for the access of a statement.
 * @param value - the received value
 * @returns the access
 */
export function accessOf (value: unknown): Access {
  if (value !== 'read' && value !== 'write') throw unrecognized
  return value
}

/**
 * Checks a field that may be absent.
 * @param value - the received value
 * @param check - the check of a value that is present
 * @returns the checked value, or undefined
 */
export function optional<T> (value: unknown, check: (value: unknown) => T): T | undefined {
  return value === undefined ? undefined : check(value)
}
