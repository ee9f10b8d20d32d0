/** Encodes the responses of a router as JSON. */
export const messageEncoder = {
  /** Returns bytes, which `RpcSocket` doesn't compress, if data are packed. */
  encode(message: unknown): string | Uint8Array<ArrayBuffer> {
    const text = JSON.stringify(message);
    return isPacked(message) ? new TextEncoder().encode(text) : text;
  },

  decode(data: string | ArrayBuffer | Uint8Array): unknown {
    if (typeof data !== 'string') throw new Error('messages are text');
    return JSON.parse(data);
  },
};

function isPacked(message: unknown): boolean {
  const {result} = message as {result?: {data?: unknown}};
  const data = result?.data;
  return typeof data === 'object' && data !== null && 'packed' in data;
}
