// Filters. A filter takes one read-only message and returns the message for the
// next filter, or ends the pipe with a result. Filters are composed into a pipe
// and do not depend on each other.

/** Result of a filter: the message for the next filter, or the result of the pipe. */
export type FilterResult<Out, End> =
  | { readonly kind: 'next', readonly message: Out }
  | { readonly kind: 'end', readonly result: End }

/** One stage of a pipe. */
export type Filter<In, Out, End> = (message: In) => FilterResult<Out, End> | Promise<FilterResult<Out, End>>

/**
 * Passes a message to the next filter.
 * @param message - the message
 * @returns the filter result
 */
export function next<Out> (message: Out): FilterResult<Out, never> {
  return { kind: 'next', message }
}

/**
 * Ends the pipe with a result.
 * @param result - the result of the pipe
 * @returns the filter result
 */
export function end<End> (result: End): FilterResult<never, End> {
  return { kind: 'end', result }
}

/**
 * Composes two filters. Nothing is awaited between filters that need not wait.
 * @param first - the filter that receives the message
 * @param second - the filter that receives the message that `first` passes on
 * @returns the composed filter
 */
export function compose<A, B, C, End> (first: Filter<A, B, End>, second: Filter<B, C, End>): Filter<A, C, End> {
  return message => {
    const filterResult = first(message)
    return filterResult instanceof Promise ? continueLater(filterResult, second) : continueWith(filterResult, second)
  }
}

function continueWith<B, C, End> (filterResult: FilterResult<B, End>, second: Filter<B, C, End>): ReturnType<Filter<B, C, End>> {
  return filterResult.kind === 'end' ? filterResult : second(filterResult.message)
}

async function continueLater<B, C, End> (filterResult: Promise<FilterResult<B, End>>, second: Filter<B, C, End>): Promise<FilterResult<C, End>> {
  return await continueWith(await filterResult, second)
}

/**
 * Runs a pipe whose last filter always ends it.
 * @param filter - the composed filters
 * @param message - the message for the first filter
 * @returns the result of the pipe
 */
export async function runPipe<In, End> (filter: Filter<In, never, End>, message: In): Promise<End> {
  const filterResult = await filter(message)
  switch (filterResult.kind) {
    case 'end': return filterResult.result
    case 'next': return filterResult.message
  }
}
