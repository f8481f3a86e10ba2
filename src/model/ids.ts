// Identifiers. All names are plain strings from the manifest or the settings;
// the type aliases document which kind of name a field holds.

/** Name of one proxy host, unique in the fleet. */
export type HostName = string

/** Name of a failure domain. */
export type FailureDomain = string

/** Name of a client account. */
export type AccountName = string

/** The account that all callers without a key share. */
export const anonymousAccount: AccountName = '(anonymous)'

/** Name of a database: one group of servers that replicate one log. */
export type DatabaseName = string

/** Name of one server of a database, unique within the manifest. */
export type ServerName = string

/** Name of a route: the schema name that a caller connects to. */
export type RouteName = string

/** Id of a caller's session, unique over all hosts and their restarts. */
export type SessionId = string

/** Generation of an accepted manifest; incremented with each acceptance. */
export type Generation = number

/** A TCP address with a numeric IP address. */
export type Address = {
  readonly ip: string
  readonly port: number
}
