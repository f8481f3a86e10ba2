// Names of the things that the proxy coordinates. All are plain strings from
// the manifest or the settings; the aliases say which kind is meant.

/** Name of one proxy host, unique in the fleet. */
export type HostName = string

/** Name of a failure domain. */
export type FailureDomain = string

/** Name of a client account. */
export type AccountName = string

/** The account that stands for all callers without a key. */
export const anonymousAccount: AccountName = '(anonymous)'

/** Name of a database: one group of servers that replicate one log. */
export type DatabaseName = string

/** Name of one server of a database, unique within the manifest. */
export type ServerName = string

/** Name of a route: the schema that a caller asks for. */
export type RouteName = string

/** Generation of an accepted manifest; rises by one with each acceptance. */
export type Generation = number

/** A TCP address by IP number. */
export type Address = {
  readonly ip: string
  readonly port: number
}
