/** How `vmux` prints results. */
export enum OutputFormat {
  Table = 'table',
  Json = 'json',
}
