// Admission at the dispatcher's host: takes the token of a statement whose entry host
// took none, before the statement enters the queue of its server.

import type { DispatchReply } from '../dispatch/index.js'
import type { AccountName, ExecuteRequest, Outcome } from '../model/index.js'

/** Dependencies of the admission. */
export type DelegatedAdmissionSpec = {
  readonly nowMs: () => number
  /** Takes one token; returns the refusal where none is available by the deadline. */
  readonly takeToken: (account: AccountName, deadlineAtMs: number) => Promise<Outcome | undefined>
  /** The refusal of a statement that this host does not dispatch. */
  readonly refusal: (request: ExecuteRequest) => DispatchReply | undefined
  /** Runs the statement; checks again whether this host dispatches it. */
  readonly run: (request: ExecuteRequest) => Promise<DispatchReply>
}

/** A reply, with the field that tells the entry host about the token. */
export type AdmittedReply = DispatchReply & { readonly tookToken?: boolean | undefined }

/**
 * Runs a statement, with a token of this host where the entry host took none.
 * @param spec - dependencies
 * @param request - the statement
 * @returns the reply; `tookToken` is set where the request has `takesToken`
 */
export async function runAdmitted (spec: DelegatedAdmissionSpec, request: ExecuteRequest): Promise<AdmittedReply> {
  if (request.takesToken === undefined) return await spec.run(request)
  if (!request.takesToken) return { ...await spec.run(request), tookToken: false }
  const refused = spec.refusal(request)
  if (refused !== undefined) return { ...refused, tookToken: false }
  const startMs = spec.nowMs()
  const outcome = await spec.takeToken(request.account, startMs + request.remainingMs)
  if (outcome !== undefined) return { outcome, transaction: undefined, newest: undefined, tookToken: false }
  return { ...await spec.run({ ...request, remainingMs: request.remainingMs - (spec.nowMs() - startMs) }), tookToken: true }
}
