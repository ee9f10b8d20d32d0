import type {Operator} from './operator.js';
import type {QueryKind} from './query_kind.js';
import type {Subject} from './subject.js';

/** A value in a statement. */
export type Literal = string | number;

/** One comparison of a `where` clause. */
export interface Condition {
  readonly field: string;
  readonly operator: Operator;
  readonly value: Literal;
}

/** `show requests where workspace = "tartu" since 1h order by at limit 20`. */
export interface ShowQuery {
  readonly kind: QueryKind.Show;
  readonly subject: Subject;
  readonly conditions: readonly Condition[];
  /** Age of the oldest row, in milliseconds. */
  readonly sinceMs?: number;
  readonly orderBy?: string;
  readonly isDescending: boolean;
  readonly limit?: number;
}

/** `explain request ID`. */
export interface ExplainQuery {
  readonly kind: QueryKind.Explain;
  readonly requestId: string;
}

/** `what happened to key K`. */
export interface KeyHistoryQuery {
  readonly kind: QueryKind.KeyHistory;
  readonly key: string;
}

/** `set class rush limit concurrency 40`. */
export interface SetCommand {
  readonly kind: QueryKind.Set;
  readonly list: 'classes' | 'workspaces';
  readonly name: string;
  readonly field: string;
  readonly value: Literal;
}

/** `drain backend NAME` and `undrain backend NAME`. */
export interface DrainCommand {
  readonly kind: QueryKind.Drain;
  readonly backend: string;
  readonly isDrained: boolean;
}

/** `settle request ID as done`. */
export interface SettleCommand {
  readonly kind: QueryKind.Settle;
  readonly requestId: string;
  readonly outcome: string;
}

/** A statement of the query and command language. */
export type Query =
  | ShowQuery
  | ExplainQuery
  | KeyHistoryQuery
  | SetCommand
  | DrainCommand
  | SettleCommand;
