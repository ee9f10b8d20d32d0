/** One fault in a YAML file, with its place. */
export interface SettingsIssue {
  readonly file: string;
  /** One-based line, 0 when the file as a whole is meant. */
  readonly line: number;
  /** Path of the field, for example `listen.port`. */
  readonly field: string;
  /** What was expected there. */
  readonly expected: string;
}

/** A settings or declarations file that was not accepted. */
export class SettingsError extends Error {
  constructor(readonly issues: readonly SettingsIssue[]) {
    super(
      issues
        .map(
          ({file, line, field, expected}) =>
            `${file}:${line}: ${field || '(file)'}: ${expected}`,
        )
        .join('\n'),
    );
    this.name = 'SettingsError';
  }
}
