// Readers of the calls `borrow` and `heartbeat` and their replies. They accept
// nothing that the schemas of src/wire/peer-schema.ts reject.

import type { BorrowRequest, GossipEntry, HostLoad, LeaseRenewal, MemberState, PeerFeature, PeerParams, PeerResult, Quota, QuotaGrant } from '../model/index.js'
import { fieldCodes as code } from './peer-codec.js'
import { amountOf, booleanOf, countOf, fieldsOf, listOf, nameOf, oneOf, optional } from './peer-fields.js'

const hostLoads: readonly HostLoad[] = ['normal', 'busy', 'overloaded']
const peerFeatures: readonly PeerFeature[] = ['dispatcherAdmission', 'weightedPlacement', 'concentratedQuota']

/**
 * Reads the parameters of `borrow`.
 * @param value - the received value
 * @returns the parameters
 */
export function borrowCallOf (value: unknown): PeerParams<'borrow'> {
  const fields = fieldsOf(value)
  return { from: nameOf(fields[code.from]), incarnation: nameOf(fields[code.incarnation]), request: borrowRequestOf(fields[code.request]) }
}

/**
 * Reads the result of `borrow`.
 * @param value - the received value
 * @returns the result
 */
export function borrowReplyOf (value: unknown): PeerResult<'borrow'> {
  return { grant: optional(fieldsOf(value)[code.grant], grantOf) }
}

/**
 * Reads the parameters or the result of `heartbeat`.
 * @param value - the received value
 * @returns the state of the member
 */
export function memberStateOf (value: unknown): MemberState {
  const fields = fieldsOf(value)
  const holdsDuty = optional(fields[code.holdsDuty], booleanOf)
  const rumours = optional(fields['rumours'], rumoursOf)
  return {
    host: nameOf(fields[code.host]),
    failureDomain: nameOf(fields[code.failureDomain]),
    incarnation: nameOf(fields[code.incarnation]),
    state: oneOf(['serving', 'stopping'], fields[code.state]),
    generation: countOf(fields[code.generation]),
    storeConfirmedAgoMs: optional(fields[code.storeConfirmedAgoMs], amountOf),
    ...(holdsDuty === undefined ? {} : { holdsDuty }),
    lease: optional(fields['lease'], leaseOf),
    ...(rumours === undefined ? {} : { rumours }),
    load: optional(fields[code.load], load => oneOf(hostLoads, load)),
    features: optional(fields[code.features], featuresOf),
    era: optional(fields['era'], countOf)
  }
}

function borrowRequestOf (value: unknown): BorrowRequest {
  const fields = fieldsOf(value)
  return {
    account: nameOf(fields[code.account]),
    purpose: oneOf(['use', 'collect'], fields[code.purpose]),
    sequence: countOf(fields[code.sequence]),
    held: quotaOf(fields[code.held]),
    answered: countOf(fields[code.answered]),
    want: quotaOf(fields[code.want]),
    wantTokens: amountOf(fields[code.wantTokens]),
    aheadTokens: amountOf(fields[code.aheadTokens]),
    returnedTokens: amountOf(fields[code.returnedTokens]),
    isUrgent: booleanOf(fields[code.isUrgent])
  }
}

function quotaOf (value: unknown): Quota {
  const fields = fieldsOf(value)
  return { ratePerS: amountOf(fields[code.ratePerS]), capacity: amountOf(fields[code.capacity]) }
}

function grantOf (value: unknown): QuotaGrant {
  const fields = fieldsOf(value)
  return { ratePerS: amountOf(fields[code.ratePerS]), capacity: amountOf(fields[code.capacity]), tokens: amountOf(fields[code.tokens]), validMs: amountOf(fields[code.validMs]) }
}

function leaseOf (value: unknown): LeaseRenewal {
  const fields = fieldsOf(value)
  return { token: countOf(fields['token']), renewal: countOf(fields['renewal']) }
}

function rumoursOf (value: unknown): readonly GossipEntry[] {
  return listOf(value).map(entry => {
    const fields = fieldsOf(entry)
    return { host: nameOf(fields[code.host]), observer: nameOf(fields['observer']), silent: booleanOf(fields['silent']), agoMs: amountOf(fields[code.agoMs]) }
  })
}

// Features of a later version are dropped.
function featuresOf (value: unknown): readonly PeerFeature[] {
  return listOf(value).filter((feature): feature is PeerFeature => peerFeatures.includes(feature as PeerFeature))
}
