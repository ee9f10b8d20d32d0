/** One measured figure. */
export interface Figure {
  readonly what: string;
  readonly value: number;
  readonly unit: string;
}

/** Prints figures as rows of a Markdown table. */
export function printFigures(title: string, figures: readonly Figure[]): void {
  const rows = figures.map(
    ({what, value, unit}) => `| ${what} | ${format(value)} | ${unit} |`,
  );
  process.stdout.write(
    `\n### ${title}\n\n| what | figure | unit |\n| --- | --- | --- |\n${rows.join('\n')}\n`,
  );
}

function format(value: number): string {
  if (Number.isInteger(value)) return String(value);
  return value.toPrecision(3);
}
