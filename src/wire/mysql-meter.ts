// Follows the packets of a MySQL client by their headers, without their contents, so
// that a packet that is too long or out of order is refused before its bytes are kept.

/** What the meter has seen of the packets so far. */
export type PacketFault = 'none' | 'tooLong' | 'outOfOrder'

const headerBytes = 4
/** Memory of a received piece besides its bytes. */
const pieceOverheadBytes = 256

/** Counts the bytes of packets. */
export class PacketMeter {
  readonly #maxBytes: number
  #header = 0
  #headerAt = 0
  #leftBytes = 0
  #packets = 0
  #heldBytes = 0
  #pieces = 0
  #loginBytes = 0
  #fault: PacketFault = 'none'

  /**
   * Creates a meter for a new connection.
   * @param maxBytes - maximum length of a packet
   */
  constructor (maxBytes: number) {
    this.#maxBytes = maxBytes
  }

  /**
   * Memory of what was received and not handled yet.
   * @returns the bytes
   */
  get heldBytes (): number {
    return Math.max(0, this.#heldBytes) + this.#pieces * pieceOverheadBytes
  }

  /**
   * Why no more may be read, once there is a reason.
   * @returns the reason
   */
  get fault (): PacketFault {
    return this.#fault
  }

  /**
   * Follows a received piece.
   * @param chunk - the piece
   */
  receive (chunk: Uint8Array): void {
    this.#heldBytes += chunk.length
    this.#pieces += 1
    for (let at = 0; at < chunk.length && this.#fault === 'none';) at = this.#leftBytes > 0 ? this.#skip(chunk, at) : this.#readHeader(chunk, at)
  }

  /** Records that the login packet was handled. */
  loginHandled (): void {
    this.handled(this.#loginBytes)
  }

  /**
   * Records that a packet was handled.
   * @param bytes - its length
   */
  handled (bytes: number): void {
    this.#heldBytes -= bytes + headerBytes
  }

  #skip (chunk: Uint8Array, at: number): number {
    const bytes = Math.min(this.#leftBytes, chunk.length - at)
    this.#leftBytes -= bytes
    if (this.#leftBytes === 0) this.#pieces = 0
    return at + bytes
  }

  #readHeader (chunk: Uint8Array, at: number): number {
    const byte = chunk[at] ?? 0
    if (this.#headerAt < headerBytes - 1) {
      this.#header += byte << (8 * this.#headerAt)
      this.#headerAt += 1
      return at + 1
    }
    this.#begin(this.#header, byte)
    this.#header = 0
    this.#headerAt = 0
    return at + 1
  }

  // The login answers the greeting, which has the number 0; each command begins anew.
  #begin (bytes: number, sequence: number): void {
    this.#packets += 1
    if (this.#packets === 1) this.#loginBytes = bytes
    if (bytes > this.#maxBytes) this.#fault = 'tooLong'
    else if (sequence !== (this.#packets === 1 ? 1 : 0)) this.#fault = 'outOfOrder'
    this.#leftBytes = bytes
    if (bytes === 0) this.#pieces = 0
  }
}
