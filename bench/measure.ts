// What a measure gives: figures with their targets, and what went wrong. The
// bounds of the targets are the users', never taken from earlier figures.

/** A bound on a figure. */
export type Target =
  | { readonly kind: 'atMost', readonly bound: number }
  | { readonly kind: 'atLeast', readonly bound: number }
  | { readonly kind: 'none' }

/** One figure of a report. */
export type Figure = {
  readonly name: string
  readonly unit: string
  readonly value: number
  readonly target: Target
}

/** Samples of one kind, for the plot. */
export type Series = {
  readonly name: string
  readonly unit: string
  readonly samples: readonly number[]
}

/** What one measure gives. */
export type MeasureResult = {
  readonly measure: string
  readonly figures: readonly Figure[]
  readonly series: readonly Series[]
  /** Sentences that a reader needs: faults with their evidence, what was left out. */
  readonly notes: readonly string[]
}

/** Whether a figure keeps its target. */
export type TargetStatus = 'met' | 'missed' | 'no target'

/**
 * Compares a figure with its target.
 * @param figure - the figure
 * @returns the verdict; a figure that is no number misses
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
