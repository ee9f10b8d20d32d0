import type {Row} from './print_rows.js';

/** Converts a declared item to a row; objects and arrays in it become JSON. */
export function toDeclarationRow(item: object): Row {
  return Object.fromEntries(
    Object.entries(item).map(([name, value]) => [
      name,
      typeof value === 'object' ? JSON.stringify(value) : value,
    ]),
  ) as Row;
}
