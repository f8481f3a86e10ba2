// Converts field names from the snake_case of TOML files to camelCase.

/** The camelCase form of a snake_case name. */
export type CamelName<S extends string> = S extends `${infer Head}_${infer Tail}` ? `${Head}${Capitalize<CamelName<Tail>>}` : S

/** The same fields with camelCase names. */
export type CamelFields<T> = { readonly [K in keyof T as CamelName<K & string>]: T[K] }

/**
 * Converts the field names of one section.
 * @param section - fields with snake_case names
 * @returns the same values under camelCase names
 */
export function camelFields<T extends object> (section: T): CamelFields<T> {
  const fields = Object.entries(section).map(([name, value]) => [camelName(name), value] as const)
  return Object.fromEntries(fields) as CamelFields<T>
}

function camelName (name: string): string {
  return name.replace(/_([a-z0-9])/g, (_, letter: string) => letter.toUpperCase())
}
