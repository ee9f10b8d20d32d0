/** An issue in a YAML file, with its location. */
export interface SettingsIssue {
  readonly file: string;
  /** One-based line; 0 if the issue concerns the whole file. */
  readonly line: number;
  /** Path of the field, for example `listen.port`. */
  readonly field: string;
  /** What the file should have at this location. */
  readonly expected: string;
}

/** Reports every issue of an invalid settings or declarations file. */
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
