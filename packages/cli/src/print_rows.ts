import Table from 'cli-table3';
import {OutputFormat} from './output_format.js';

/** One row of a result; its keys are the column headings. */
export type Row = Readonly<Record<string, string | number | boolean>>;

/** Prints rows as a table, headed by the keys of the first row, or as JSON. */
export function printRows(rows: readonly Row[], format: OutputFormat): void {
  if (format === OutputFormat.Json) {
    process.stdout.write(`${JSON.stringify(rows, undefined, 2)}\n`);
    return;
  }
  const [first] = rows;
  if (!first) {
    process.stdout.write('(none)\n');
    return;
  }
  const columns = Object.keys(first);
  const table = new Table({head: columns, style: {head: [], border: []}});
  for (const row of rows) {
    table.push(columns.map(column => String(row[column] ?? '')));
  }
  process.stdout.write(`${table.toString()}\n`);
}
