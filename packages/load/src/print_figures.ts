/** One measured figure. */
export interface Figure {
  readonly label: string;
  readonly value: number;
  readonly unit: string;
}

/** Prints figures as rows of a Markdown table. */
export function printFigures(title: string, figures: readonly Figure[]): void {
  const rows = figures.map(
    ({label: label, value, unit}) =>
      `| ${label} | ${formatValue(value)} | ${unit} |`,
  );
  process.stdout.write(
    `\n### ${title}\n\n| what | figure | unit |\n| --- | --- | --- |\n${rows.join('\n')}\n`,
  );
}

function formatValue(value: number): string {
  if (Number.isInteger(value)) return String(value);
  return value.toPrecision(3);
}
