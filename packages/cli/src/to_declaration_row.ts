import type {Row} from './print_rows.js';

/** Makes a row of a declared item; lists in it are shown as JSON. */
export function toDeclarationRow(item: object): Row {
  return Object.fromEntries(
    Object.entries(item).map(([name, value]) => [
      name,
      typeof value === 'object' ? JSON.stringify(value) : value,
    ]),
  ) as Row;
}
