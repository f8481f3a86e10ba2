// State machine of a faulty link: which bytes of its connections it forwards,
// delays or drops. A pure step; `faulty-link.ts` holds the sockets.

import type { Transition } from '../src/pipe/index.js'

export type LinkMode =
  /** Bytes are forwarded. */
  | 'pass'
  /** Open connections are reset; new ones are reset as soon as they open. */
  | 'cut'
  /** Open connections are reset; the listener is closed. */
  | 'refuse'
  /**
   * Bytes are dropped in both directions; open and new connections stay open and
   * forward nothing even after the mode ends.
   */
  | 'silent'
  /** As `silent`, but only for bytes from the client to the server. */
  | 'silentToServer'
  /** As `silent`, but only for bytes from the server to the client. */
  | 'silentToClient'
  /**
   * Open connections drop bytes in both directions until they close; new ones
   * forward bytes.
   */
  | 'halfOpen'
  /** Bytes are held until the mode ends, as in a network partition that heals. */
  | 'hold'

export type Direction = 'toServer' | 'toClient'

export type LinkControl = {
  readonly mode: LinkMode
  /** Delay of each forwarded chunk, in both directions. */
  readonly delayMs: number
  /**
   * Number of chunks from the server still to drop; each drop resets its
   * connection.
   */
  readonly dropNextAnswer: number
}

export const passThroughControl: LinkControl = { mode: 'pass', delayMs: 0, dropNextAnswer: 0 }

type LinkConnection = {
  /** Directions in which bytes are dropped until the connection closes. */
  readonly silentDirections: readonly Direction[]
  /** Chunks received in mode `hold`, in order of arrival. */
  readonly held: readonly Chunk[]
}

/** Bytes received on one side of the link, or the end of the stream. */
export type Chunk = {
  readonly id: number
  readonly direction: Direction
  /** Undefined at the end of the stream. */
  readonly bytes: Buffer | undefined
}

export type LinkState = {
  readonly control: LinkControl
  readonly connections: ReadonlyMap<number, LinkConnection>
  /** Number of connections since the link started, including reset ones. */
  readonly opened: number
}

export const initialLink: LinkState = { control: passThroughControl, connections: new Map(), opened: 0 }

export type LinkMessage =
  | { readonly kind: 'control', readonly control: LinkControl }
  | { readonly kind: 'opened', readonly id: number }
  | { readonly kind: 'chunk', readonly chunk: Chunk }
  | { readonly kind: 'closed', readonly id: number }

export type LinkEffect =
  | { readonly kind: 'forward', readonly chunk: Chunk, readonly delayMs: number }
  | { readonly kind: 'cut', readonly id: number }
  | { readonly kind: 'listen', readonly open: boolean }

type Next = Transition<LinkState, LinkEffect>

const bothDirections: readonly Direction[] = ['toServer', 'toClient']

export function stepLink (state: LinkState, message: LinkMessage): Next {
  switch (message.kind) {
    case 'control': return control(state, message.control)
    case 'opened': return opened(state, message.id)
    case 'chunk': return handleChunk(state, message.chunk)
    case 'closed': {
      const connections = new Map(state.connections)
      connections.delete(message.id)
      return { state: { ...state, connections }, effects: [] }
    }
  }
}

function control (state: LinkState, requested: LinkControl): Next {
  const ids = [...state.connections.keys()]
  const listen: LinkEffect = { kind: 'listen', open: requested.mode !== 'refuse' }
  if (requested.mode === 'cut' || requested.mode === 'refuse') {
    const cuts = ids.map(id => ({ kind: 'cut', id } as const))
    return { state: { ...state, control: requested, connections: new Map() }, effects: [listen, ...cuts] }
  }
  const silent = silencedDirections(requested.mode)
  const released = [...state.connections.values()].flatMap(connection => connection.held)
  const connections = new Map([...state.connections].map(([id, connection]) =>
    [id, { silentDirections: [...connection.silentDirections, ...silent], held: [] } satisfies LinkConnection]))
  const start: Next = { state: { ...state, control: requested, connections }, effects: [listen] }
  return released.reduce((next, chunk) => {
    const passed = handleChunk(next.state, chunk)
    return { state: passed.state, effects: [...next.effects, ...passed.effects] }
  }, start)
}

/** Directions in which open connections drop bytes from the time a mode is set. */
function silencedDirections (mode: LinkMode): readonly Direction[] {
  switch (mode) {
    case 'pass':
    case 'cut':
    case 'refuse':
    case 'hold': return []
    case 'silent':
    case 'halfOpen': return bothDirections
    case 'silentToServer': return ['toServer']
    case 'silentToClient': return ['toClient']
  }
}

function opened (state: LinkState, id: number): Next {
  const withCount = { ...state, opened: state.opened + 1 }
  const mode = state.control.mode
  if (mode === 'cut' || mode === 'refuse') return { state: withCount, effects: [{ kind: 'cut', id }] }
  const silent = mode === 'halfOpen' ? [] : silencedDirections(mode)
  return { state: { ...withCount, connections: new Map(state.connections).set(id, { silentDirections: silent, held: [] }) }, effects: [] }
}

function handleChunk (state: LinkState, chunk: Chunk): Next {
  const connection = state.connections.get(chunk.id)
  if (connection === undefined || connection.silentDirections.includes(chunk.direction)) return { state, effects: [] }
  if (state.control.mode === 'hold') {
    const held = [...connection.held, chunk]
    return { state: { ...state, connections: new Map(state.connections).set(chunk.id, { ...connection, held }) }, effects: [] }
  }
  const isAnswer = chunk.direction === 'toClient' && chunk.bytes !== undefined
  if (isAnswer && state.control.dropNextAnswer > 0) {
    const dropNextAnswer = state.control.dropNextAnswer - 1
    return { state: { ...state, control: { ...state.control, dropNextAnswer } }, effects: [{ kind: 'cut', id: chunk.id }] }
  }
  return { state, effects: [{ kind: 'forward', chunk, delayMs: state.control.delayMs }] }
}
