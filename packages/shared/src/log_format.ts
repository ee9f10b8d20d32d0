/** How log lines are written. */
export enum LogFormat {
  Text = 'text',
  Json = 'json',
}
