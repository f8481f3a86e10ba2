// Sends an attempt with its token: the dispatcher takes it, or this host does before
// it sends. The decisions are in src/admission.

import { tokenAfter, tokenStep, tokenTaken, tokenVerdict, type TokenState } from '../admission/index.js'
import type { AccountName, HostName } from '../model/index.js'
import type { AttemptResult } from './retry.js'
import type { RequestServices } from './services.js'

type Services = Pick<RequestServices, 'admit' | 'dispatcherSupport' | 'onDelegationRefused'>

/** An attempt whose statement may need a token. */
export type TokenUse = {
  readonly account: AccountName
  readonly deadlineAtMs: number
  readonly dispatcher: HostName
  readonly token: TokenState
}

/** Result of an attempt, and the state of the token for the next one. */
export type TokenResult = { readonly attempt: AttemptResult, readonly token: TokenState }

/** Sends one attempt; `takesToken` is the field of the request. */
export type SendAttempt = (takesToken: boolean | undefined) => Promise<AttemptResult>

/**
 * Sends an attempt so that the statement takes one token in all.
 * @param services - the rate limiter, and what the dispatcher supports
 * @param use - account, dispatcher and state of the token
 * @param send - sends the attempt
 * @returns the result; `refused` where no token was available here
 */
export async function sendWithToken (services: Services, use: TokenUse, send: SendAttempt): Promise<TokenResult> {
  const step = tokenStep(use.token, services.dispatcherSupport(use.dispatcher))
  switch (step.kind) {
    case 'takeHere': return await takeAndSend(services, use, send)
    case 'send': {
      const attempt = await send(step.takesToken)
      return step.takesToken === true ? await afterDelegation(services, use, attempt, send) : { attempt, token: tokenAfter(use.token, attempt) }
    }
  }
}

async function takeAndSend (services: Services, use: TokenUse, send: SendAttempt): Promise<TokenResult> {
  const refusal = await services.admit(use.account, use.deadlineAtMs)
  if (refusal !== undefined) return { attempt: { kind: 'refused', outcome: refusal }, token: use.token }
  return { attempt: await send(false), token: tokenTaken }
}

async function afterDelegation (services: Services, use: TokenUse, attempt: AttemptResult, send: SendAttempt): Promise<TokenResult> {
  const result: TokenResult = { attempt, token: tokenAfter(use.token, attempt) }
  switch (tokenVerdict(attempt)) {
    case 'decided': return result
    case 'cannotTake': return await takeAndSend(services, use, send)
    case 'overRate': {
      services.onDelegationRefused(use.account)
      return result
    }
    case 'notUnderstood': {
      // The statement may have run without a token, so this host takes one afterwards.
      // The answer does not wait for it.
      void services.admit(use.account, use.deadlineAtMs)
      return { attempt, token: tokenTaken }
    }
  }
}
