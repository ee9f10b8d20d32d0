/** A straight line through measured points. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
}

/** Fits a line by least squares. */
export function fitLine(
  points: ReadonlyArray<readonly [number, number]>,
): Line {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = covariance / variance;
  return {slope, intercept: meanY - slope * meanX};
}
