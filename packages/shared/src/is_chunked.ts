/** Whether a `Transfer-Encoding` field names `chunked` and no other coding. */
export function isChunked(coding: string | readonly string[]): boolean {
  return (
    typeof coding === 'string' && coding.trim().toLowerCase() === 'chunked'
  );
}
