/** Output formats of log lines. */
export enum LogFormat {
  Text = 'text',
  Json = 'json',
}
