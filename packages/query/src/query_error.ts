/** A statement that could not be read. */
export class QueryError extends Error {
  constructor(
    readonly statement: string,
    /** One-based column of the fault. */
    readonly column: number,
    readonly reason: string,
    /** A word that may have been meant. */
    readonly suggestion?: string,
  ) {
    const hint = suggestion ? ` Did you mean "${suggestion}"?` : '';
    const marker = `${' '.repeat(column - 1)}^`;
    super(`${statement}\n${marker}\ncolumn ${column}: ${reason}.${hint}`);
    this.name = 'QueryError';
  }
}
