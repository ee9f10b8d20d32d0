import {createHash} from 'node:crypto';

/** Half of a SHA-256 digest; enough to tell requests apart. */
const DIGEST_HEX_LENGTH = 32;

/** Options of a `RequestFingerprint`. */
export interface RequestFingerprintOptions {
  readonly method: string;
  /** Path with the query string. */
  readonly path: string;
  /** Workspace of the caller, if the route requires a key. */
  readonly workspace?: string;
  readonly body: Buffer;
}

/**
 * Identifies what a client asks for, whichever host receives it and however
 * often it comes. The body cannot be derived from it.
 */
export class RequestFingerprint {
  private computedDigest?: string;

  constructor(private readonly options: RequestFingerprintOptions) {}

  /** Digest in hexadecimal, computed when it is first needed. */
  get digest(): string {
    return (this.computedDigest ??= this.compute());
  }

  private compute(): string {
    const {method, path, workspace, body} = this.options;
    return createHash('sha256')
      .update(JSON.stringify([method, path, workspace ?? null]))
      .update(body)
      .digest('hex')
      .slice(0, DIGEST_HEX_LENGTH);
  }
}
