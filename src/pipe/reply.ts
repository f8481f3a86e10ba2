// Request and reply between tasks (ask pattern). A request is a message that
// carries a reply callback, which the receiving task calls once. If the mailbox
// is full or closed, the requester gets a fallback reply that it chose.

import type { Port } from './mailbox.js'

/** Callback for the one reply to a request. */
export type Reply<A> = (answer: A) => void

/**
 * Sends a request to a task and waits for the reply.
 * @param port - the task's mailbox
 * @param request - creates the message from the reply callback
 * @param fallback - the reply where the mailbox rejects the message
 * @returns the reply
 */
export function ask<M, A> (port: Port<M>, request: (reply: Reply<A>) => M, fallback: A): Promise<A> {
  return new Promise<A>(resolve => {
    const result = port.send(request(resolve))
    if (result !== 'accepted') resolve(fallback)
  })
}

/**
 * Removes the requests that have been answered.
 * @param waiting - reply callbacks by the id of their request
 * @param answered - ids of the requests that have been answered
 * @returns the reply callbacks of the remaining requests
 */
export function withoutAnswered<R> (waiting: ReadonlyMap<string, R>, answered: readonly string[]): ReadonlyMap<string, R> {
  const remaining = new Map(waiting)
  for (const id of answered) remaining.delete(id)
  return remaining
}
