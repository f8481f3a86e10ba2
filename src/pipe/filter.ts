// Filters. A filter takes one read-only message and gives the next one, or
// ends the pipe with a result. Filters are joined into a pipe and know
// nothing of each other.

/** What a filter gives: the next message, or the end of the pipe. */
export type FilterResult<Out, End> =
  | { readonly kind: 'next', readonly message: Out }
  | { readonly kind: 'end', readonly result: End }

/** One stage of a pipe. */
export type Filter<In, Out, End> = (message: In) => FilterResult<Out, End> | Promise<FilterResult<Out, End>>

/**
 * Passes a message on.
 * @param message - the next message
 * @returns the passage
 */
export function next<Out> (message: Out): FilterResult<Out, never> {
  return { kind: 'next', message }
}

/**
 * Ends the pipe.
 * @param result - what the pipe gives
 * @returns the passage
 */
export function end<End> (result: End): FilterResult<never, End> {
  return { kind: 'end', result }
}

/**
 * Joins two filters.
 * @param first - the filter that sees the message first
 * @param second - the filter that sees what the first passes on
 * @returns the joined filter
 */
export function compose<A, B, C, End> (first: Filter<A, B, End>, second: Filter<B, C, End>): Filter<A, C, End> {
  return async message => {
    const passage = await first(message)
    return passage.kind === 'end' ? passage : await second(passage.message)
  }
}

/**
 * Runs a pipe whose last filter always ends it.
 * @param filter - the joined filters
 * @param message - the message that enters
 * @returns what the pipe gives
 */
export async function runPipe<In, End> (filter: Filter<In, never, End>, message: In): Promise<End> {
  const passage = await filter(message)
  switch (passage.kind) {
    case 'end': return passage.result
    case 'next': return passage.message
  }
}
