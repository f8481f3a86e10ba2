// Result types of a measure: figures with their targets, samples and notes. The
// users set the bounds of the targets; earlier figures do not.

/** A bound on a figure. */
export type Target =
  | { readonly kind: 'atMost', readonly bound: number }
  | { readonly kind: 'atLeast', readonly bound: number }
  | { readonly kind: 'none' }

/** One figure of a report, with its target. */
export type Figure = {
  readonly name: string
  readonly unit: string
  readonly value: number
  readonly target: Target
}

/** Samples of one quantity, for the plot. */
export type Series = {
  readonly name: string
  readonly unit: string
  readonly samples: readonly number[]
}

/** Result of one measure. */
export type MeasureResult = {
  readonly measure: string
  readonly figures: readonly Figure[]
  readonly series: readonly Series[]
  /**
   * Explanations for the reader: violations with their details, and limits of
   * the measure.
   */
  readonly notes: readonly string[]
}

/** Whether a figure meets its target. */
export type TargetStatus = 'met' | 'missed' | 'no target'

/**
 * Compares a figure with its target.
 * @param figure - the figure
 * @returns status of the figure; NaN misses any target
 */
export function targetStatus (figure: Figure): TargetStatus {
  const { target, value } = figure
  switch (target.kind) {
    case 'none': return 'no target'
    case 'atMost': return value <= target.bound ? 'met' : 'missed'
    case 'atLeast': return value >= target.bound ? 'met' : 'missed'
  }
}

export function atMost (name: string, unit: string, value: number, bound: number): Figure {
  return { name, unit, value, target: { kind: 'atMost', bound } }
}

export function atLeast (name: string, unit: string, value: number, bound: number): Figure {
  return { name, unit, value, target: { kind: 'atLeast', bound } }
}

export function withoutTarget (name: string, unit: string, value: number): Figure {
  return { name, unit, value, target: { kind: 'none' } }
}
