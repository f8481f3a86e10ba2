// Messages of the protocol between proxies. Each method has one request and one
// reply type. The encoding is JSON-RPC, implemented in src/wire.

import type { AccountName, DatabaseName, FailureDomain, Generation, HostName, ServerName, SessionId } from './ids.js'
import type { AcceptedManifest } from './manifest.js'
import type { Outcome } from './outcome.js'
import type { Position } from './position.js'
import type { Access, ServerStatement, SessionValues } from './statement.js'
import type { DiscoveredServer, PrimaryView, ServerStatus } from './database.js'

/** Read consistency of a statement, resolved from its read level and its route. */
export type ReadConsistency =
  /** Every write up to `position`, the minimum position; `floor` is its name on the wire. */
  | { readonly kind: 'floor', readonly position: Position }
  /** Strong read: every write acknowledged before the dispatcher received the read. */
  | { readonly kind: 'newest' }
  /** Bounded-staleness read: every write acknowledged longer ago than `maxAgeMs`. */
  | { readonly kind: 'age', readonly maxAgeMs: number }
  /**
   * Every write up to the minimum position, and every write acknowledged longer
   * ago than `maxAgeMs`.
   */
  | { readonly kind: 'floorAndAge', readonly position: Position, readonly maxAgeMs: number }

/** Execution mode of a statement on a server. */
export type ExecutionMode =
  /** `freshness`: wire name of the read consistency, here and in `begin`. */
  | { readonly kind: 'read', readonly freshness: ReadConsistency }
  | { readonly kind: 'write', readonly requestId: string | undefined }
  | { readonly kind: 'begin', readonly requestId: string | undefined, readonly access: Access, readonly freshness: ReadConsistency }
  | { readonly kind: 'inTransaction', readonly transaction: string }
  | { readonly kind: 'commit', readonly transaction: string }
  | { readonly kind: 'rollback', readonly transaction: string }

/** Request to the dispatcher of a server to run a statement. */
export type ExecuteRequest = {
  /** The host that the caller is connected to. */
  readonly from: HostName
  readonly database: DatabaseName
  readonly server: ServerName
  readonly account: AccountName
  readonly weight: number
  readonly statement: ServerStatement
  /** Session values that the caller has set. */
  readonly values: SessionValues
  readonly mode: ExecutionMode
  /**
   * Time left until the deadline. Sent as a duration because clock times of
   * different hosts are not comparable.
   */
  readonly remainingMs: number
  /** Priority of the route, 0 is the highest; a proxy of an earlier version does not send it. */
  readonly priority?: number | undefined
  /** Time left until the route's latency objective; negative once it has passed. */
  readonly goalLeftMs?: number | undefined
  /**
   * Whether the dispatcher takes the token of the account's rate limit, because
   * the entry host took none.
   */
  readonly takesToken?: boolean | undefined
  /** Unique among the statements of the entry host; `cancel` names the statement by it. */
  readonly callId?: string | undefined
  /**
   * Session of the caller, where the statement begins a transaction or belongs to
   * one; a proxy of an earlier version does not send it.
   */
  readonly callerSession?: SessionId | undefined
}

/** Load of a server at its dispatcher. */
export type ServerLoad = {
  /** Time until a statement that arrives now is expected to start. */
  readonly expectedWaitMs: number
  /** Average service time of the server's statements. */
  readonly serviceMs: number
  /** Number of statements that wait. */
  readonly waiting: number
  /** Number of statements that may run at once now. */
  readonly slots: number
}

/** Load of a host's own processor. */
export type HostLoad = 'normal' | 'busy' | 'overloaded'

/** Result of a statement at the dispatcher of a server. */
export type ExecuteReply = {
  readonly outcome: Outcome
  /** Set where `begin` opened a transaction. */
  readonly transaction: string | undefined
  readonly primary: PrimaryView
  /** Minimum position of a strong read, where the dispatcher determined one. */
  readonly newest: Position | undefined
  /** Applied position of the server that the dispatcher last observed. */
  readonly applied: Position | undefined
  /** Whether the dispatcher took the token of the account's rate limit. */
  readonly tookToken?: boolean | undefined
  /** Load of the server; a proxy of an earlier version does not send it. */
  readonly serverLoad?: ServerLoad | undefined
}

/** A renewal of the leader lease: token of its holder, and number of the renewal. */
export type LeaseRenewal = {
  readonly token: number
  readonly renewal: number
}

/** State that a member reports in heartbeats and in replies to them. */
export type MemberState = {
  readonly host: HostName
  readonly failureDomain: FailureDomain
  /** Unique to each start of the process. */
  readonly incarnation: string
  readonly state: 'serving' | 'stopping'
  /** Generation in force; 0 while the member does not count for majorities. */
  readonly generation: Generation
  /** Time since the store confirmed that generation; undefined: never. */
  readonly storeConfirmedAgoMs: number | undefined
  /**
   * Whether the member holds the leader lease (outer name: duty), which permits
   * it to order promotions. Omitted where servers are promoted by quorum.
   */
  readonly holdsDuty?: boolean
  /**
   * The last acknowledged renewal of the leader lease, while the member holds it; a
   * proxy of an earlier version does not send it.
   */
  readonly lease?: LeaseRenewal | undefined
  /**
   * Gossip entries (`rumours` on the wire): observations of other members. Sent
   * in large fleets only.
   */
  readonly rumours?: readonly GossipEntry[]
  /** Highest era of the store that the member knows; omitted in era 0 and by an earlier version. */
  readonly era?: number | undefined
  /** Load of the member's processor; omitted while it is normal, and by a proxy of an earlier version. */
  readonly load?: HostLoad | undefined
  /** Optional parts of the protocol that the member supports. */
  readonly features?: readonly PeerFeature[] | undefined
}

/**
 * Optional part of the protocol. `dispatcherAdmission`: the dispatcher takes tokens
 * for entry hosts; `weightedPlacement`: dispatchers are placed by capacity;
 * `concentratedQuota`: an account with a low rate uses few quota partitions.
 */
export type PeerFeature = 'dispatcherAdmission' | 'weightedPlacement' | 'concentratedQuota'

/**
 * Gossip entry: whether a member is unresponsive, as another member observed
 * it; relayed in heartbeats.
 */
export type GossipEntry = {
  readonly host: HostName
  readonly observer: HostName
  /** Whether the observer found the host unresponsive. */
  readonly silent: boolean
  readonly agoMs: number
}

/**
 * Quota: the fraction of an account's limit that one host may use. It is
 * transferred between hosts, never duplicated.
 */
export type Quota = {
  readonly ratePerS: number
  /** Fraction of the burst: capacity of the token bucket. */
  readonly capacity: number
}

/** Request to borrow quota of an account. */
export type BorrowRequest = {
  readonly account: AccountName
  /**
   * `use`: for requests of the borrowing host; `collect`: by the quota
   * coordinator, for re-lending.
   */
  readonly purpose: 'use' | 'collect'
  /**
   * Increases with each request of one incarnation; a request with a lower
   * sequence is ignored.
   */
  readonly sequence: number
  /**
   * Quota on loan from this lender that the borrower still holds; the borrower
   * uses no more until the reply arrives.
   */
  readonly held: Quota
  /** Sequence of the latest request whose reply granted the current loan; 0: no loan. */
  readonly answered: number
  /** Total quota that the borrower requests to hold from this lender. */
  readonly want: Quota
  /** Tokens that the borrower needs immediately. */
  readonly wantTokens: number
  /** Tokens for expected requests, which a lender adds where it has a surplus. */
  readonly aheadTokens: number
  /** Unused tokens that the borrower returns with the released fraction of the loan. */
  readonly returnedTokens: number
  /**
   * Whether requests are waiting for the tokens; the lender then gives up half
   * of its own reserve.
   */
  readonly isUrgent: boolean
}

/** Quota on loan, with tokens that are available immediately. */
export type QuotaGrant = Quota & {
  readonly tokens: number
  /**
   * Validity of the loan, counted by the borrower from the time at which it
   * sent the request.
   */
  readonly validMs: number
}

/** What a host that has given up the loans of a restarted lender tells it. */
export type LoanReset = {
  /** Time after which nothing that was lent from these loans is in use. */
  readonly clearInMs: number
  /** Time for which this host has used no loan of the lender, at least. */
  readonly unusedMs: number
}

/** One host of the platform's host list, with its peer address. */
export type ListedMember = {
  readonly host: HostName
  readonly failureDomain: FailureDomain
  readonly ip: string
  readonly port: number
  /** See `Member` in src/members; a host of an earlier version does not state it. */
  readonly capacityCores?: number | undefined
  /** Features that the host states; see `PeerFeature`. A host of an earlier version states none. */
  readonly features?: readonly string[] | undefined
  /** `leaving`: the host is being decommissioned and is no live member, even if it responds. */
  readonly state: 'live' | 'leaving'
}

/** The platform's host list and the time since the platform returned it. */
export type HostList = {
  readonly hosts: readonly ListedMember[]
  readonly agoMs: number
}

/** Reply to `listHosts`; omits the list where the caller already has it. */
export type HostListReply = {
  /** Undefined where the digest of the caller matches. */
  readonly hosts: readonly ListedMember[] | undefined
  readonly digest: string
  readonly agoMs: number
}

/** Last reported status of a server, as one host observed it. */
export type ObservedServer = {
  readonly status: ServerStatus
  /** Time since the host's last contact with the server. */
  readonly heardAgoMs: number
}

/**
 * Status of a database's servers as one host observed it. Relayed so that other
 * hosts need not query the servers.
 */
export type Observation = {
  readonly servers: readonly ObservedServer[]
  /**
   * Watermark (`mark` on the wire): every write acknowledged more than `agoMs`
   * ago is at or below the position.
   */
  readonly mark: { readonly position: Position, readonly agoMs: number } | undefined
}

/** The registered servers and the time since the store listed them. */
export type ServerList = {
  /** Undefined where the digest of the caller matches. */
  readonly servers: readonly DiscoveredServer[] | undefined
  readonly digest: string
  /** Time since the moment as of which the list is complete. */
  readonly agoMs: number
  /** Revision of the store that the list reflects; a proxy of an earlier version does not send it. */
  readonly revision?: number | undefined
  /** Era that the revision is of; omitted in era 0 and by an earlier version. */
  readonly era?: number | undefined
  /**
   * The leaving servers of the list, each with the longest time since its
   * announcement that is possible; Infinity where nothing is known. A proxy of an
   * earlier version does not send it.
   */
  readonly leaving?: ReadonlyArray<{ readonly server: ServerName, readonly agoMs: number }> | undefined
  /** The cold servers of the list, each with the time for which it stays so. */
  readonly cold?: ReadonlyArray<{ readonly server: ServerName, readonly leftMs: number }> | undefined
}

/** The evacuations of failure domains that a host knows. */
export type EvacuationList = {
  /** Time since the moment as of which the list is complete. */
  readonly agoMs: number
  /** Revision of the store that the list reflects. */
  readonly revision?: number | undefined
  /** Era of the store that the revision is of; undefined: 0. */
  readonly era?: number | undefined
  /** Longest possible time since each request; Infinity where nothing is known. */
  readonly domains: ReadonlyArray<{ readonly domain: FailureDomain, readonly agoMs: number }>
  /** Time since the end of each evacuation that ended recently. */
  readonly ended: ReadonlyArray<{ readonly domain: FailureDomain, readonly agoMs: number }>
}

/** Parameters and results of each method. */
export type PeerMethods = {
  readonly execute: { readonly params: ExecuteRequest, readonly result: ExecuteReply }
  /** Drops a statement that waits at the dispatcher and is no longer needed. */
  readonly cancel: { readonly params: { readonly from: HostName, readonly database: DatabaseName, readonly server: ServerName, readonly callId: string }, readonly result: { readonly accepted: boolean } }
  readonly heartbeat: { readonly params: MemberState, readonly result: MemberState }
  readonly pullConfiguration: { readonly params: { readonly above: Generation }, readonly result: { readonly accepted: AcceptedManifest | undefined } }
  readonly offerConfiguration: { readonly params: { readonly accepted: AcceptedManifest }, readonly result: { readonly generation: Generation } }
  readonly borrow: { readonly params: { readonly from: HostName, readonly incarnation: string, readonly request: BorrowRequest }, readonly result: { readonly grant: QuotaGrant | undefined } }
  /**
   * Sent by a host that has restarted, to each other host: gives up the loans that
   * the sender's previous process made to the called host. Undefined: they may still
   * be in use.
   */
  readonly resetLoans: { readonly params: { readonly from: HostName }, readonly result: { readonly reset: LoanReset | undefined } }
  /**
   * Returns the host list of the called host; undefined: none yet. `known` is
   * the digest of the caller's list. `from`: state of the called host, as in the
   * answer to a heartbeat; a proxy of an earlier version does not send it.
   */
  readonly listHosts: { readonly params: { readonly known: string }, readonly result: { readonly list: HostListReply | undefined, readonly from?: MemberState | undefined } }
  /**
   * Returns the called host's observation of a database's servers; undefined
   * where it does not watch them.
   */
  readonly observe: { readonly params: { readonly database: DatabaseName }, readonly result: { readonly observation: Observation | undefined } }
  /** Reports that a server does not respond to the sender, which is its dispatcher. */
  readonly suspect: { readonly params: { readonly database: DatabaseName, readonly server: ServerName }, readonly result: { readonly accepted: boolean } }
  /** Announces the primary of a database immediately after a change. */
  readonly primaryChanged: { readonly params: { readonly view: PrimaryView }, readonly result: { readonly accepted: boolean } }
  /**
   * Returns the registered servers that the called host has found; undefined:
   * none yet. `known` is the digest of the caller's list, and `from` as in
   * `listHosts`. `evacuations`: not sent where the settings have no `evacuate_ms`, and
   * by a proxy of an earlier version.
   */
  readonly listServers: { readonly params: { readonly known: string }, readonly result: { readonly list: ServerList | undefined, readonly from?: MemberState | undefined, readonly evacuations?: EvacuationList | undefined } }
  readonly report: { readonly params: { readonly report: HostReport }, readonly result: { readonly accepted: boolean } }
}

/** Name of a method between proxies. */
export type PeerMethod = keyof PeerMethods

/** Parameters of a method. */
export type PeerParams<M extends PeerMethod> = PeerMethods[M]['params']

/** Result of a method. */
export type PeerResult<M extends PeerMethod> = PeerMethods[M]['result']

/** Summary of one latency histogram. */
export type LatencySummary = {
  readonly count: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly maxMs: number
}

/** Status report of one host for operators. */
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

/** Status of one database in the report of a host. */
export type DatabaseReport = {
  readonly database: DatabaseName
  readonly primary: ServerName | undefined
  readonly term: number
  /** `home`: dispatcher of the server; `coldLeftMs`: set while the server is cold. */
  readonly servers: ReadonlyArray<{ readonly server: ServerName, readonly home: HostName | undefined, readonly lagEntries: number | undefined, readonly coldLeftMs?: number | undefined }>
}

/** Request counts and latency of one client account in the report of a host. */
export type AccountReport = {
  readonly account: AccountName
  /** Statements with any outcome but `rateExceeded`, whether they ran or not. */
  readonly admitted: number
  /** Statements with the outcome `rateExceeded`; not part of `latency`. */
  readonly refusedByRate: number
  readonly latency: LatencySummary
}
