/** The value below which `share` (0 to 1) of the values lie. */
export function percentile(values: readonly number[], share: number): number {
  const sorted = values.slice().sort((a, b) => a - b);
  const index = Math.ceil(share * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}
