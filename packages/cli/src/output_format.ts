/** Formats in which `vmux` prints results. */
export enum OutputFormat {
  Table = 'table',
  Json = 'json',
}
