// Field names of TOML files are in snake_case, those of the code in camelCase.

/** A snake_case name in camelCase. */
export type CamelName<S extends string> = S extends `${infer Head}_${infer Tail}` ? `${Head}${Capitalize<CamelName<Tail>>}` : S

/** The same fields under camelCase names. */
export type CamelFields<T> = { readonly [K in keyof T as CamelName<K & string>]: T[K] }

/**
 * Renames the fields of one section.
 * @param section - fields named in snake_case
 * @returns the same values under camelCase names
 */
export function camelFields<T extends object> (section: T): CamelFields<T> {
  const fields = Object.entries(section).map(([name, value]) => [camelName(name), value] as const)
  return Object.fromEntries(fields) as CamelFields<T>
}

function camelName (name: string): string {
  return name.replace(/_([a-z0-9])/g, (_, letter: string) => letter.toUpperCase())
}
