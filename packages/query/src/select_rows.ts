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
  const selected = rows.filter(row =>
    conditions.every(condition => matches(row, condition)),
  );
  if (orderBy) {
    const direction = isDescending ? -1 : 1;
    selected.sort((a, b) => direction * compare(a[orderBy], b[orderBy]));
  }
  return limit === undefined ? selected : selected.slice(0, limit);
}

/** Fields that a query names and the rows do not have. */
export function findUnknownFields(
  rows: readonly QueryRow[],
  {conditions, orderBy}: ShowQuery,
): string[] {
  const [firstRow] = rows;
  if (!firstRow) return [];
  const usedFields = conditions.map(({field}) => field);
  if (orderBy) usedFields.push(orderBy);
  return usedFields.filter(field => !(field in firstRow));
}

function matches(row: QueryRow, {field, operator, value}: Condition): boolean {
  const actual = row[field];
  switch (operator) {
    case Operator.Equal:
      return String(actual) === String(value);
    case Operator.NotEqual:
      return String(actual) !== String(value);
    case Operator.Less:
      return compare(actual, value) < 0;
    case Operator.Greater:
      return compare(actual, value) > 0;
    case Operator.Like:
      return String(actual).includes(String(value));
  }
}

function compare(a: unknown, b: unknown): number {
  const [left, right] = [Number(a), Number(b)];
  if (Number.isFinite(left) && Number.isFinite(right)) return left - right;
  return String(a) < String(b) ? -1 : Number(String(a) > String(b));
}
