// Questions between tasks. A question is a message that carries a reply port;
// the asked task answers through it once. A question that finds the mailbox
// full gets the answer that the asker chose for that case.

import type { Port } from './mailbox.js'

/** Takes the one answer to a question. */
export type Reply<A> = (answer: A) => void

/**
 * Asks a task and waits for its answer.
 * @param port - the task's mailbox
 * @param question - makes the message from the reply port
 * @param whenFull - the answer where the mailbox takes no message
 * @returns the answer
 */
export async function ask<M, A> (port: Port<M>, question: (reply: Reply<A>) => M, whenFull: A): Promise<A> {
  return await new Promise<A>(resolve => {
    const result = port.send(question(resolve))
    if (result !== 'accepted') resolve(whenFull)
  })
}

/**
 * Takes replies that were given out of those that wait.
 * @param waiting - replies by the id of their question
 * @param answered - ids of the questions that were answered
 * @returns the replies that still wait
 */
export function withoutAnswered<R> (waiting: ReadonlyMap<string, R>, answered: readonly string[]): ReadonlyMap<string, R> {
  const left = new Map(waiting)
  for (const id of answered) left.delete(id)
  return left
}
