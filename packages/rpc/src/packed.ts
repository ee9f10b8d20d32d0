/**
 * JSON that was compressed once, so that it can be sent to many receivers. A
 * message with it isn't compressed again.
 */
export interface Packed {
  /** Deflated JSON (RFC 1951) in base64. */
  readonly packed: string;
}
