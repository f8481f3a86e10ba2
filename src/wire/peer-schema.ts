// Schemas of the messages between proxies. A message is decoded here once, when it
// arrives, and rejected as a whole where a field is missing or out of range, so
// that no task receives a value that its types exclude. Unknown fields are
// dropped: a newer proxy may send some. Of the lists of hosts and servers only the
// invalid entries are dropped.

import { isIP } from 'node:net'
import * as z from 'zod'
import type { PeerMethod, PeerMethods, PeerParams, PeerResult, SessionValues } from '../model/index.js'
import { WireError } from '../ports/index.js'

const maxPort = 65_535
const maxSlots = 10_000

const text = z.string()
const name = z.string().min(1)
const count = z.int().min(0)
const amount = z.number().min(0)
const ip = z.string().refine(value => isIP(value) !== 0)
const port = z.int().min(1).max(maxPort)

/** A time that has passed. JSON has no infinity; the encoding of "never" is null. */
const age = z.number().min(0).nullable().transform(value => value ?? Infinity)
const position = z.object({ term: count, index: count })
const access = z.enum(['read', 'write'])

const consistency = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('floor'), position }),
  z.object({ kind: z.literal('newest') }),
  z.object({ kind: z.literal('age'), maxAgeMs: amount }),
  z.object({ kind: z.literal('floorAndAge'), position, maxAgeMs: amount })
])

const mode = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('read'), freshness: consistency }),
  z.object({ kind: z.literal('write'), requestId: text.optional() }),
  z.object({ kind: z.literal('begin'), requestId: text.optional(), access, freshness: consistency }),
  z.object({ kind: z.literal('inTransaction'), transaction: name }),
  z.object({ kind: z.literal('commit'), transaction: name }),
  z.object({ kind: z.literal('rollback'), transaction: name })
])

const statement = z.object({
  id: text.optional(),
  text,
  prepared: z.object({ statement: z.object({ access, shape: text }), argument: text }).optional()
})

// Passed as it is: a record of the schema library drops the name `__proto__`.
const sessionValues = z.custom<SessionValues>(value => typeof value === 'object' && value !== null && !Array.isArray(value) && Object.values(value).every(each => typeof each === 'string'))

const executeParams = z.object({
  from: name,
  database: name,
  server: name,
  account: name,
  weight: z.number().positive(),
  statement,
  values: sessionValues,
  mode,
  // Negative once the deadline has passed.
  remainingMs: z.number(),
  priority: count.optional(),
  goalLeftMs: z.number().optional(),
  takesToken: z.boolean().optional(),
  callId: name.optional(),
  callerSession: name.optional()
})

const serverLoad = z.object({ expectedWaitMs: amount, serviceMs: amount, waiting: count, slots: count })

const column = z.object({ name: text, type: count, flags: count, length: count, decimals: count, characterSet: count })

const answer = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('rows'), columns: z.array(column), rows: z.array(z.array(text.nullable())) }),
  z.object({ kind: z.literal('done'), affectedRows: amount, insertId: amount }),
  z.object({ kind: z.literal('signed'), rows: z.array(text), signature: text })
])

const notRunReason = z.enum([
  'badKey', 'keyWithdrawn', 'routeUnknown', 'routeForbidden', 'hintMalformed', 'statementTooLong', 'statementHoldsKey', 'unsupported',
  'rateExceeded', 'queueFull', 'deadlinePassed', 'unconfirmedConfiguration', 'noPrimary', 'noServer', 'leaving', 'stopping', 'wrongHome',
  'behind', 'transactionLost', 'transactionFailed', 'serverBusy', 'preparedUnknown'
])

const outcome = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('answered'), answer, position: position.optional(), servedBy: z.enum(['primary', 'replica', 'proxy']) }),
  z.object({ kind: z.literal('refused'), errorNumber: count, sqlState: text, message: text }),
  z.object({ kind: z.literal('failed'), detail: text }),
  z.object({ kind: z.literal('notRun'), reason: notRunReason, detail: text }),
  z.object({ kind: z.literal('unknown'), reason: z.enum(['connectionLost', 'answerOverdue', 'notConfirmed']), detail: text })
])

const primaryView = z.object({ database: name, term: count, primary: name.optional() })

const executeResult = z.object({
  outcome,
  transaction: name.optional(),
  primary: primaryView,
  newest: position.optional(),
  applied: position.optional(),
  tookToken: z.boolean().optional(),
  serverLoad: serverLoad.optional()
})

const memberState = z.object({
  host: name,
  failureDomain: name,
  incarnation: name,
  state: z.enum(['serving', 'stopping']),
  generation: count,
  storeConfirmedAgoMs: amount.optional(),
  holdsDuty: z.boolean().optional(),
  lease: z.object({ token: count, renewal: count }).optional(),
  rumours: z.array(z.object({ host: name, observer: name, silent: z.boolean(), agoMs: amount })).optional(),
  era: count.optional(),
  load: z.enum(['normal', 'busy', 'overloaded']).optional(),
  // Features of a later version are dropped.
  features: validEntries(z.enum(['dispatcherAdmission', 'weightedPlacement', 'concentratedQuota'])).optional()
})

const server = z.object({ name, ip, port, failureDomain: name, slots: z.int().min(1).max(maxSlots), state: z.enum(['active', 'leaving']) })

const manifest = z.object({
  accounts: z.array(z.object({ name, keys: z.array(z.object({ id: name, digest: name })), ratePerS: amount, burst: amount, weight: z.number().positive() })),
  databases: z.array(z.object({
    name,
    servers: z.array(server.extend({ maxConnections: count })),
    maxConnections: count.optional(),
    coldS: amount.optional(),
    coldPerS: amount.optional(),
    state: z.enum(['active', 'leaving'])
  })),
  routes: z.array(z.object({
    name,
    database: name,
    access: z.discriminatedUnion('kind', [
      z.object({ kind: z.literal('open') }),
      z.object({ kind: z.literal('anyAccount') }),
      z.object({ kind: z.literal('accounts'), accounts: z.array(name) })
    ]),
    policy: z.object({
      freshness: z.discriminatedUnion('kind', [
        z.object({ kind: z.literal('newest') }),
        z.object({ kind: z.literal('age'), maxAgeMs: amount }),
        z.object({ kind: z.literal('ownWrites'), maxAgeMs: amount })
      ]),
      timeoutMs: amount,
      goalMs: amount,
      priority: count
    }).optional()
  })),
  anonymous: z.object({ ratePerS: amount, burst: amount }),
  seats: z.int().min(1),
  idleTransactionMs: amount.optional()
})

const accepted = z.object({ generation: z.int().min(1), manifest })

const quota = z.object({ ratePerS: amount, capacity: amount })

const borrowRequest = z.object({
  account: name,
  purpose: z.enum(['use', 'collect']),
  sequence: count,
  held: quota,
  answered: count,
  want: quota,
  wantTokens: amount,
  aheadTokens: amount,
  returnedTokens: amount,
  isUrgent: z.boolean()
})

const grant = quota.extend({ tokens: amount, validMs: amount })

const listedHost = z.object({ host: name, failureDomain: name, ip, port, capacityCores: z.number().positive().optional(), features: z.array(name).optional(), state: z.enum(['live', 'leaving']) })

const discoveredServer = server.extend({ database: name })

const serverList = z.object({
  servers: validEntries(discoveredServer).optional(),
  digest: text,
  agoMs: amount,
  revision: count.optional(),
  era: count.optional(),
  leaving: z.array(z.object({ server: name, agoMs: age })).optional(),
  cold: validEntries(z.object({ server: name, leftMs: amount })).optional()
})

const domainAges = validEntries(z.object({ domain: name, agoMs: age }))

const evacuationList = z.object({ agoMs: amount, revision: count.optional(), era: count.optional(), domains: domainAges, ended: domainAges })

const serverStatus = z.object({
  server: name,
  role: z.enum(['primary', 'replica']),
  fencedTerm: count,
  proposer: text,
  received: position,
  applied: position,
  term: count.optional(),
  isPaused: z.boolean().optional(),
  lagMs: z.number().optional()
})

const observation = z.object({
  servers: z.array(z.object({ status: serverStatus, heardAgoMs: age })),
  mark: z.object({ position, agoMs: amount }).optional()
})

const latency = z.object({ count: amount, p50Ms: amount, p99Ms: amount, maxMs: amount })

const hostReport = z.object({
  host: name,
  failureDomain: name,
  incarnation: name,
  generation: count,
  state: z.enum(['serving', 'stopping']),
  rejectedManifest: z.object({ generation: count, errors: z.array(text) }).optional(),
  databases: z.array(z.object({
    database: name,
    primary: name.optional(),
    term: count,
    servers: z.array(z.object({ server: name, home: name.optional(), lagEntries: amount.optional(), coldLeftMs: amount.optional() }))
  })),
  accounts: z.array(z.object({ account: name, admitted: amount, refusedByRate: amount, latency }))
})

const acknowledgement = z.object({ accepted: z.boolean() })

type MethodSchemas = Readonly<Record<PeerMethod, { readonly params: z.ZodType, readonly result: z.ZodType }>>

const schemas: MethodSchemas = {
  execute: { params: executeParams, result: executeResult },
  cancel: { params: z.object({ from: name, database: name, server: name, callId: name }), result: acknowledgement },
  heartbeat: { params: memberState, result: memberState },
  pullConfiguration: { params: z.object({ above: count }), result: z.object({ accepted: accepted.optional() }) },
  offerConfiguration: { params: z.object({ accepted }), result: z.object({ generation: count }) },
  borrow: { params: z.object({ from: name, incarnation: name, request: borrowRequest }), result: z.object({ grant: grant.optional() }) },
  resetLoans: { params: z.object({ from: name }), result: z.object({ reset: z.object({ clearInMs: amount, unusedMs: amount }).optional() }) },
  listHosts: { params: z.object({ known: text }), result: z.object({ list: z.object({ hosts: validEntries(listedHost).optional(), digest: text, agoMs: amount }).optional(), from: memberState.optional() }) },
  observe: { params: z.object({ database: name }), result: z.object({ observation: observation.optional() }) },
  suspect: { params: z.object({ database: name, server: name }), result: acknowledgement },
  primaryChanged: { params: z.object({ view: primaryView }), result: acknowledgement },
  listServers: { params: z.object({ known: text }), result: z.object({ list: serverList.optional(), from: memberState.optional(), evacuations: evacuationList.optional() }) },
  report: { params: z.object({ report: hostReport }), result: acknowledgement }
}

/**
 * Decodes the parameters of a call.
 * @param method - the method
 * @param value - the received parameters
 * @returns the parameters; throws a `WireError` where they do not match
 */
export function decodeParams<M extends PeerMethod> (method: M, value: unknown): PeerParams<M> {
  return decode<PeerMethods[M]['params']>(schemas[method].params, value, `parameters of ${method}`)
}

/**
 * Decodes the result of a call.
 * @param method - the method
 * @param value - the received result
 * @returns the result; throws a `WireError` where it does not match
 */
export function decodeResult<M extends PeerMethod> (method: M, value: unknown): PeerResult<M> {
  return decode<PeerMethods[M]['result']>(schemas[method].result, value, `result of ${method}`)
}

function decode<T> (schema: z.ZodType, value: unknown, what: string): T {
  const parsed = schema.safeParse(value)
  if (parsed.success) return parsed.data as T
  const paths = parsed.error.issues.map(issue => issue.path.join('.')).slice(0, 3)
  throw new WireError('rejected', `the ${what} are malformed at ${paths.join(', ')}`)
}

function validEntries<T> (schema: z.ZodType<T>): z.ZodType<readonly T[]> {
  return z.array(z.unknown()).transform(entries => entries.flatMap(entry => {
    const parsed = schema.safeParse(entry)
    return parsed.success ? [parsed.data] : []
  }))
}
