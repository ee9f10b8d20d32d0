import {Operator} from './operator.js';
import type {Condition, ShowQuery} from './query.js';

/** A row that `show` selects from. */
export type QueryRow = Readonly<Record<string, string | number | boolean>>;

/** Filters, orders and limits rows. */
export function selectRows(
  rows: readonly QueryRow[],
  query: ShowQuery,
): QueryRow[] {
  const {conditions, orderBy, isDescending, limit} = query;
  const found = rows.filter(row =>
    conditions.every(condition => matches(row, condition)),
  );
  if (orderBy) {
    const sign = isDescending ? -1 : 1;
    found.sort((a, b) => sign * compare(a[orderBy], b[orderBy]));
  }
  return limit === undefined ? found : found.slice(0, limit);
}

/** Fields that a query names and the rows do not have. */
export function findUnknownFields(
  rows: readonly QueryRow[],
  {conditions, orderBy}: ShowQuery,
): string[] {
  const [first] = rows;
  if (!first) return [];
  const named = conditions.map(({field}) => field);
  if (orderBy) named.push(orderBy);
  return named.filter(field => !(field in first));
}

function matches(row: QueryRow, {field, operator, value}: Condition): boolean {
  const present = row[field];
  switch (operator) {
    case Operator.Equal:
      return String(present) === String(value);
    case Operator.NotEqual:
      return String(present) !== String(value);
    case Operator.Less:
      return compare(present, value) < 0;
    case Operator.Greater:
      return compare(present, value) > 0;
    case Operator.Like:
      return String(present).includes(String(value));
  }
}

function compare(a: unknown, b: unknown): number {
  const [left, right] = [Number(a), Number(b)];
  if (Number.isFinite(left) && Number.isFinite(right)) return left - right;
  return String(a) < String(b) ? -1 : Number(String(a) > String(b));
}
