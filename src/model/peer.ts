// What proxies say to each other. Each method has one request and one reply
// type; the encoding is JSON-RPC and stands in src/wire.

import type { AccountName, DatabaseName, FailureDomain, Generation, HostName, ServerName } from './ids.js'
import type { AcceptedManifest } from './manifest.js'
import type { Outcome } from './outcome.js'
import type { Position } from './position.js'
import type { Access, ServerStatement, SessionValues } from './statement.js'
import type { DiscoveredServer, PrimaryView, ServerStatus } from './database.js'

/** What a read has to cover. */
export type ReadConsistency =
  | { readonly kind: 'floor', readonly position: Position }
  /** Every write acknowledged before the home took the read. */
  | { readonly kind: 'newest' }
  | { readonly kind: 'age', readonly maxAgeMs: number }
  /** The position, and every write acknowledged longer ago than the age. */
  | { readonly kind: 'floorAndAge', readonly position: Position, readonly maxAgeMs: number }

/** How a statement runs on a server. */
export type ExecutionMode =
  | { readonly kind: 'read', readonly freshness: ReadConsistency }
  | { readonly kind: 'write', readonly requestId: string | undefined }
  | { readonly kind: 'begin', readonly requestId: string | undefined, readonly access: Access, readonly freshness: ReadConsistency }
  | { readonly kind: 'inTransaction', readonly transaction: string }
  | { readonly kind: 'commit', readonly transaction: string }
  | { readonly kind: 'rollback', readonly transaction: string }

/** A statement on its way to the home of a server. */
export type ExecuteRequest = {
  /** The host that the caller is connected to. */
  readonly from: HostName
  readonly database: DatabaseName
  readonly server: ServerName
  readonly account: AccountName
  readonly weight: number
  readonly statement: ServerStatement
  /** What the caller has set for its session. */
  readonly values: SessionValues
  readonly mode: ExecutionMode
  /** Time left until the deadline; durations cross hosts, clock times do not. */
  readonly remainingMs: number
}

/** What became of a statement at the home of a server. */
export type ExecuteReply = {
  readonly outcome: Outcome
  /** Set where `begin` opened a transaction. */
  readonly transaction: string | undefined
  readonly primary: PrimaryView
  /** The position that a read of the newest state has to cover, where its home asked for it. */
  readonly newest: Position | undefined
  /** Applied position of the server, as its home knew it. */
  readonly applied: Position | undefined
}

/** What a member says of itself in a heartbeat and its answer. */
export type MemberState = {
  readonly host: HostName
  readonly failureDomain: FailureDomain
  /** Differs at each start of the process. */
  readonly incarnation: string
  readonly state: 'serving' | 'stopping'
  readonly generation: Generation
  /** How long ago the store confirmed that generation; undefined: never. */
  readonly storeConfirmedAgoMs: number | undefined
  /** Whether it holds the lease of the promotion duty. */
  readonly holdsDuty?: boolean
  /** What observers in a large fleet saw of others; small fleets send none. */
  readonly rumours?: readonly GossipEntry[]
}

/** What one member saw of another; passed on in heartbeats. */
export type GossipEntry = {
  readonly host: HostName
  readonly observer: HostName
  readonly silent: boolean
  readonly agoMs: number
}

/** A part of an account's limit. It is moved between hosts, never copied. */
export type Quota = {
  readonly ratePerS: number
  /** Part of the burst: the most tokens that may be saved up. */
  readonly capacity: number
}

/** A request to borrow a part of an account's limit. */
export type BorrowRequest = {
  readonly account: AccountName
  /** `use`: for requests here; `collect`: by the account's home, to lend on. */
  readonly purpose: 'use' | 'collect'
  /** Rises with each request of one incarnation; an older one is void. */
  readonly sequence: number
  /** What the borrower still holds of this lender and limits itself to until the answer. */
  readonly held: Quota
  /** Sequence of the newest request whose answer it holds a loan by; 0: none. */
  readonly answered: number
  /** What it wants to hold in all. */
  readonly want: Quota
  /** Tokens that it wants at once. */
  readonly wantTokens: number
  /** Tokens for the requests to come, which a lender adds where it has plenty. */
  readonly aheadTokens: number
  /** Unused tokens that come back with the part of the loan that is given up. */
  readonly returnedTokens: number
  /** Requests wait for them; the lender gives up half of what it saves for itself. */
  readonly isUrgent: boolean
}

/** A share that is lent, with tokens that come at once. */
export type QuotaGrant = Quota & {
  readonly tokens: number
  /** How long it holds, counted by the borrower from its request. */
  readonly validMs: number
}

/** One host of the platform's list, with the address for other proxies. */
export type ListedMember = {
  readonly host: HostName
  readonly failureDomain: FailureDomain
  readonly ip: string
  readonly port: number
  readonly state: 'live' | 'leaving'
}

/** The platform's list and how long ago the platform gave it. */
export type HostList = {
  readonly hosts: readonly ListedMember[]
  readonly agoMs: number
}

/** A list of hosts for one that may have it already. */
export type HostListReply = {
  /** Undefined where the asker has them. */
  readonly hosts: readonly ListedMember[] | undefined
  readonly digest: string
  readonly agoMs: number
}

/** What one host knows of a server. */
export type ObservedServer = {
  readonly status: ServerStatus
  /** Since the server gave any sign of life. */
  readonly heardAgoMs: number
}

/** What one host knows of a database's servers; others spare themselves the questions. */
export type Observation = {
  readonly servers: readonly ObservedServer[]
  /** Everything acknowledged longer ago than this is at or below the position. */
  readonly mark: { readonly position: Position, readonly agoMs: number } | undefined
}

/** The servers that were found, and how long ago the store listed them. */
export type ServerList = {
  /** Undefined where the asker has them already. */
  readonly servers: readonly DiscoveredServer[] | undefined
  readonly digest: string
  readonly agoMs: number
}

/** Parameters and results of each method. */
export type PeerMethods = {
  readonly execute: { readonly params: ExecuteRequest, readonly result: ExecuteReply }
  readonly heartbeat: { readonly params: MemberState, readonly result: MemberState }
  readonly pullConfiguration: { readonly params: { readonly above: Generation }, readonly result: { readonly accepted: AcceptedManifest | undefined } }
  readonly offerConfiguration: { readonly params: { readonly accepted: AcceptedManifest }, readonly result: { readonly generation: Generation } }
  readonly borrow: { readonly params: { readonly from: HostName, readonly incarnation: string, readonly request: BorrowRequest }, readonly result: { readonly grant: QuotaGrant | undefined } }
  /** The list of hosts as the asked host has it; undefined: none yet. `known` is the digest of the list that the asker has. */
  readonly listHosts: { readonly params: { readonly known: string }, readonly result: { readonly list: HostListReply | undefined } }
  /** What the asked host knows of a database's servers; undefined where it does not watch them. */
  readonly observe: { readonly params: { readonly database: DatabaseName }, readonly result: { readonly observation: Observation | undefined } }
  /** A server does not answer the sender, which runs its statements. */
  readonly suspect: { readonly params: { readonly database: DatabaseName, readonly server: ServerName }, readonly result: { readonly accepted: boolean } }
  /** Tells who leads a database, right after a change. */
  readonly primaryChanged: { readonly params: { readonly view: PrimaryView }, readonly result: { readonly accepted: boolean } }
  /** The servers that the asked host has found; undefined: none yet. `known` is the digest of the list that the asker has. */
  readonly listServers: { readonly params: { readonly known: string }, readonly result: { readonly list: ServerList | undefined } }
  readonly report: { readonly params: { readonly report: HostReport }, readonly result: { readonly accepted: boolean } }
}

/** A method between proxies. */
export type PeerMethod = keyof PeerMethods

/** Parameters of a method. */
export type PeerParams<M extends PeerMethod> = PeerMethods[M]['params']

/** Result of a method. */
export type PeerResult<M extends PeerMethod> = PeerMethods[M]['result']

/** One latency histogram, summed up. */
export type LatencySummary = {
  readonly count: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly maxMs: number
}

/** What one host reports for the operators. */
export type HostReport = {
  readonly host: HostName
  readonly failureDomain: FailureDomain
  readonly incarnation: string
  readonly generation: Generation
  readonly state: 'serving' | 'stopping'
  readonly rejectedManifest: { readonly generation: Generation, readonly errors: readonly string[] } | undefined
  readonly databases: readonly DatabaseReport[]
  readonly accounts: readonly AccountReport[]
}

/** What a host reports of one database. */
export type DatabaseReport = {
  readonly database: DatabaseName
  readonly primary: ServerName | undefined
  readonly term: number
  readonly servers: ReadonlyArray<{ readonly server: ServerName, readonly home: HostName | undefined, readonly lagEntries: number | undefined }>
}

/** What a host reports of one client account. */
export type AccountReport = {
  readonly account: AccountName
  readonly admitted: number
  readonly refusedByRate: number
  readonly latency: LatencySummary
}
