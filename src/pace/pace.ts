// The pace of a server: how many statements it is given at once, adapted to its
// answers. The limit starts low, grows with each good answer and falls at once on
// errors, on refusals because the server is busy, and when service times rise
// relative to their best. It is never below 1 and never above the server's slots.
//
// Service times differ by orders of magnitude between statements, so windows of
// answers are compared by the mean of their logarithms, against a threshold that
// grows with the spread. A fall that does not lower the service times shows that the
// number of statements is not their cause: the new mean then counts as the best.

/** How a statement ended on a server, as far as it shows the server's state. */
export type ServiceResult =
  /** The server answered, also with an error of the statement itself. */
  | 'answered'
  /** The server refused to run it, because too much runs there. */
  | 'busy'
  /** The server was lost, gave no answer in time, or accepted no connection. */
  | 'failed'
  /** The statement was not sent, for a reason that is not the server's. */
  | 'none'

/** Cause of a fall of the limit. */
export type PaceFall = 'busy' | 'failed' | 'slow'

/** A window of answers, as sums over the logarithms of their service times. */
type PaceWindow = { readonly count: number, readonly sum: number, readonly sumOfSquares: number }

/** State of the pace of one server. */
export type PaceState = {
  readonly slots: number
  /** Statements that may run at once; the whole part applies. */
  readonly limit: number
  /** Limit up to which it grows fast; above it, an earlier fall showed trouble. */
  readonly threshold: number
  readonly window: PaceWindow
  /** Mean of the good windows, close to the lowest ones; undefined before the first window. */
  readonly best: number | undefined
  /** Mean of the window that led to the last fall, while the fall has not helped. */
  readonly fellAtMean: number | undefined
  /** Limit before that fall. */
  readonly fellFromLimit: number
  /** Answers to statements that started before this time tell nothing of the new limit. */
  readonly fellAtMs: number
  readonly lastFall: PaceFall | undefined
}

/** Events of the pace. Times are monotonic. */
export type PaceEvent =
  | { readonly kind: 'ended', readonly result: ServiceResult, readonly serviceMs: number, readonly nowMs: number }
  /** The server has started, returned or been promoted. */
  | { readonly kind: 'restarted', readonly nowMs: number }

/** Fraction of the slots at the start. */
const startFraction = 1 / 3
/** Growth with each good answer, in slots, and as a fraction of the limit for servers with many slots. */
const growth = { fast: { slots: 1 / 2, fraction: 1 / 8 }, slow: { slots: 1 / 32, fraction: 1 / 128 } } as const
/** Factor of the limit after a fall. A smaller one would stop most of the work of a server with few slots. */
const fallFactor: Readonly<Record<PaceFall, number>> = { failed: 0.5, busy: 0.7, slow: 0.7 }
/** Answers in a window. */
const windowSize = 16
/** Service times below this are not told apart. */
const minServiceMs = 0.5
/** Rise of the mean logarithm that counts as slow: half of the service time more, and the chance deviation of both means. */
const slowRise = Math.log(1.5)
const deviations = 4
/**
 * The best mean follows lower means by a part of the difference, so that one window
 * with many short statements is no measure for the next ones, and rises with each
 * other window, so that it follows slow changes of the load.
 */
const bestMoves = { lower: 0.25, rise: 0.02 } as const
/** A fall has helped where the service times are lower by this factor. */
const helpedBy = Math.log(1.1)

const emptyWindow: PaceWindow = { count: 0, sum: 0, sumOfSquares: 0 }

/**
 * Creates the pace of a server that has just started.
 * @param slots - slots of the server
 * @returns the state
 */
export function initialPace (slots: number): PaceState {
  return { slots, limit: Math.max(1, slots * startFraction), threshold: slots, window: emptyWindow, best: undefined, fellAtMean: undefined, fellFromLimit: slots, fellAtMs: -Infinity, lastFall: undefined }
}

/**
 * Returns the number of statements that may run at once.
 * @param state - the pace
 * @returns a whole number from 1 to the server's slots
 */
export function paceSlots (state: PaceState): number {
  return Math.max(1, Math.min(state.slots, Math.floor(state.limit)))
}

/**
 * Step function of the pace.
 * @param state - the current state
 * @param event - the event
 * @returns the next state
 */
export function paceStep (state: PaceState, event: PaceEvent): PaceState {
  switch (event.kind) {
    case 'restarted': return { ...initialPace(state.slots), fellAtMs: event.nowMs }
    case 'ended': return onEnd(state, event)
  }
}

function onEnd (state: PaceState, event: Extract<PaceEvent, { readonly kind: 'ended' }>): PaceState {
  const isEarlier = event.nowMs - event.serviceMs < state.fellAtMs
  switch (event.result) {
    case 'none': return state
    case 'answered': return isEarlier ? state : closeWindow(grow(record(state, event.serviceMs)), event.nowMs)
    case 'busy':
    case 'failed': return isEarlier ? state : fall(state, event.result, event.nowMs)
  }
}

// After a fall for slowness the limit stays until a window shows whether it helped.
function grow (state: PaceState): PaceState {
  if (state.fellAtMean !== undefined) return state
  const { slots, fraction } = state.limit < state.threshold ? growth.fast : growth.slow
  return { ...state, limit: Math.min(state.slots, state.limit + Math.max(slots, state.limit * fraction)) }
}

function fall (state: PaceState, cause: PaceFall, nowMs: number): PaceState {
  const limit = Math.max(1, state.limit * fallFactor[cause])
  return { ...state, limit, threshold: limit, window: emptyWindow, fellAtMean: undefined, fellAtMs: nowMs, lastFall: cause }
}

function record (state: PaceState, serviceMs: number): PaceState {
  const value = Math.log(Math.max(minServiceMs, serviceMs))
  const { count, sum, sumOfSquares } = state.window
  return { ...state, window: { count: count + 1, sum: sum + value, sumOfSquares: sumOfSquares + value * value } }
}

function closeWindow (state: PaceState, nowMs: number): PaceState {
  const { count, sum, sumOfSquares } = state.window
  if (count < windowSize) return state
  const mean = sum / count
  const deviation = Math.sqrt(Math.max(0, sumOfSquares / count - mean * mean) / count)
  const next = { ...state, window: emptyWindow }
  const isSlow = state.best !== undefined && mean > state.best + slowRise + deviations * deviation
  if (!isSlow) return { ...next, best: followBest(state.best ?? mean, mean), fellAtMean: undefined }
  if (state.fellAtMean !== undefined && mean > state.fellAtMean - helpedBy) return { ...next, limit: state.fellFromLimit, best: mean, fellAtMean: undefined }
  return { ...fall(next, 'slow', nowMs), fellAtMean: mean, fellFromLimit: state.limit }
}

function followBest (best: number, mean: number): number {
  return mean < best ? best + bestMoves.lower * (mean - best) : Math.min(mean, best + bestMoves.rise)
}
