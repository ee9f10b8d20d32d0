export {Operator} from './operator.js';
export {parseQuery} from './parse_query.js';
export {
  type Condition,
  type DrainCommand,
  type ExplainQuery,
  type KeyHistoryQuery,
  type Literal,
  type Query,
  type SetCommand,
  type SettleCommand,
  type ShowQuery,
} from './query.js';
export {QueryError} from './query_error.js';
export {QueryKind} from './query_kind.js';
export {findUnknownFields, selectRows, type QueryRow} from './select_rows.js';
export {Subject} from './subject.js';
export {KEYWORD_TEXTS} from './tokens.js';
