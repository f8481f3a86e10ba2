// Choice between the servers that may run a read. Without load the nearest one is
// used: a replica in the failure domain of this host, then any replica, then the
// primary. It is compared with another one, picked at random, and the statement goes
// there with a probability that grows with the difference of the waits. Many hosts
// decide by the same reports, which are late by a round trip: if each of them sent
// all statements to the server with the shortest wait, they would overload one server
// after another. An ejected server is considered only for its share of the reads, or
// where no other one may serve.

import type { HostName, ServerName } from '../model/index.js'

/** A server that may run the statement. */
export type RouteOption = {
  readonly server: ServerName
  readonly dispatcher: HostName
  readonly isLocal: boolean
  readonly isPrimary: boolean
  readonly waitMs: number
  /** See `readShare`. */
  readonly share: number
}

/** Random numbers for one choice, each from 0 up to, not including, 1. */
export type RouteDraws = {
  /** Selects the server that the nearest one is compared with. */
  readonly other: number
  /** Decides whether the statement leaves the nearest server. */
  readonly move: number
  /** Decides whether a server that returns from an ejection is considered. */
  readonly share: number
}

/**
 * Difference of the waits below which a statement stays with the nearest server, and
 * the scale of the probability to leave it. Waits of a few milliseconds change faster
 * than reports arrive.
 */
const minDifferenceMs = 5
const differenceScaleMs = 40
/** Upper bound of the time that a statement needs to another failure domain and back. */
const hopMs = 3
/** Wait that is accepted in the failure domain of this host, because bytes between domains cost money. */
const crossDomainMarginMs = 20
/** Wait that is accepted at replicas, because writes have no other server than the primary. */
const primaryMarginMs = 15
/** Highest probability that a statement leaves the nearest server. */
const maxMoveProbability = 0.9

/**
 * Chooses a server for a first attempt.
 * @param options - the servers that may run the statement
 * @param tieBreaker - a non-negative integer that selects among equally near servers
 * @param draws - random numbers
 * @returns the server; undefined if there is none
 */
export function chooseOption (options: readonly RouteOption[], tieBreaker: number, draws: RouteDraws): RouteOption | undefined {
  const considered = consideredOf(options, draws)
  const nearest = nearestOf(considered)
  const first = nearest[tieBreaker % Math.max(nearest.length, 1)]
  const others = considered.filter(option => option !== first)
  const second = others[Math.floor(draws.other * others.length)]
  if (first === undefined || second === undefined) return first
  return draws.move < moveProbability(first, second) ? second : first
}

/**
 * Chooses a server after an attempt at another one did not run.
 * @param options - the servers that may run the statement and were not tried
 * @param tieBreaker - a non-negative integer that selects among equally near servers
 * @param draws - random numbers
 * @returns the server with the lowest wait and cost; undefined if there is none
 */
export function nextBestOption (options: readonly RouteOption[], tieBreaker: number, draws: RouteDraws): RouteOption | undefined {
  const considered = consideredOf(options, draws)
  const nearest = nearestOf(considered)
  const first = nearest[tieBreaker % Math.max(nearest.length, 1)]
  if (first === undefined) return undefined
  return considered.reduce((best, option) => gainMs(best, option) > 0 ? option : best, first)
}

function consideredOf (options: readonly RouteOption[], draws: RouteDraws): readonly RouteOption[] {
  const considered = options.filter(({ share }) => draws.share < share)
  return considered.length > 0 ? considered : options
}

// The servers that are used without load; they are equally near.
function nearestOf (options: readonly RouteOption[]): readonly RouteOption[] {
  const replicas = options.filter(({ isPrimary }) => !isPrimary)
  const local = replicas.filter(({ isLocal }) => isLocal)
  if (local.length > 0) return local
  return replicas.length > 0 ? replicas : options
}

function moveProbability (from: RouteOption, to: RouteOption): number {
  const gain = gainMs(from, to)
  return gain <= 0 ? 0 : Math.min(maxMoveProbability, gain / (from.waitMs + to.waitMs + differenceScaleMs))
}

function gainMs (from: RouteOption, to: RouteOption): number {
  return from.waitMs - to.waitMs - minDifferenceMs - Math.max(0, placeCostMs(to) - placeCostMs(from))
}

function placeCostMs ({ isLocal, isPrimary }: RouteOption): number {
  return (isLocal ? 0 : hopMs + crossDomainMarginMs) + (isPrimary ? primaryMarginMs : 0)
}
