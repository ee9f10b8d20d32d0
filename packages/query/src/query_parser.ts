import {EmbeddedActionsParser, type IToken} from 'chevrotain';
import {Operator} from './operator.js';
import type {
  Condition,
  DrainCommand,
  ExplainQuery,
  KeyHistoryQuery,
  Literal,
  Query,
  SetCommand,
  SettleCommand,
  ShowQuery,
} from './query.js';
import {QueryKind} from './query_kind.js';
import type {Subject} from './subject.js';
import {TOKEN_LIST, TOKENS} from './tokens.js';

const MS_PER_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

/** Parses one statement; see docs/operators/query-language.md. */
export class QueryParser extends EmbeddedActionsParser {
  readonly statement = this.RULE('statement', (): Query =>
    this.OR<Query>([
      {ALT: () => this.SUBRULE(this.showQuery)},
      {ALT: () => this.SUBRULE(this.explainQuery)},
      {ALT: () => this.SUBRULE(this.keyHistoryQuery)},
      {ALT: () => this.SUBRULE(this.setCommand)},
      {ALT: () => this.SUBRULE(this.drainCommand)},
      {ALT: () => this.SUBRULE(this.settleCommand)},
    ]),
  );

  private readonly showQuery = this.RULE('showQuery', (): ShowQuery => {
    this.CONSUME(TOKENS.show);
    const subject = this.CONSUME(TOKENS.word).image as Subject;
    const conditions: Condition[] = [];
    this.OPTION(() => {
      this.CONSUME(TOKENS.where);
      this.AT_LEAST_ONE_SEP({
        SEP: TOKENS.and,
        DEF: () => conditions.push(this.SUBRULE(this.condition)),
      });
    });
    const sinceMs = this.OPTION1(() => {
      this.CONSUME(TOKENS.since);
      return parseDurationMs(this.CONSUME(TOKENS.duration));
    });
    let isDescending = false;
    const orderBy = this.OPTION2(() => {
      this.CONSUME(TOKENS.order);
      this.CONSUME(TOKENS.by);
      const field = this.CONSUME1(TOKENS.word).image;
      this.OPTION3(() =>
        this.OR([
          {ALT: () => this.CONSUME(TOKENS.asc)},
          {
            ALT: () => {
              this.CONSUME(TOKENS.desc);
              isDescending = true;
            },
          },
        ]),
      );
      return field;
    });
    const limit = this.OPTION4(() => {
      this.CONSUME(TOKENS.limit);
      return Number(this.CONSUME(TOKENS.number).image);
    });
    return {
      kind: QueryKind.Show,
      subject,
      conditions,
      sinceMs,
      orderBy,
      isDescending,
      limit,
    };
  });

  private readonly condition = this.RULE('condition', (): Condition => {
    const field = this.CONSUME(TOKENS.word).image;
    const operator = this.OR<Operator>([
      {ALT: () => this.CONSUME(TOKENS.comparison).image as Operator},
      {
        ALT: () => {
          this.CONSUME(TOKENS.like);
          return Operator.Like;
        },
      },
    ]);
    return {field, operator, value: this.SUBRULE(this.literal)};
  });

  private readonly literal = this.RULE('literal', (): Literal =>
    this.OR<Literal>([
      {ALT: () => Number(this.CONSUME(TOKENS.number).image)},
      {ALT: () => this.quotedText()},
      {ALT: () => this.CONSUME(TOKENS.word).image},
    ]),
  );

  private readonly name = this.RULE('name', (): string =>
    this.OR<string>([
      {ALT: () => this.quotedText()},
      {ALT: () => this.CONSUME(TOKENS.word).image},
    ]),
  );

  private readonly explainQuery = this.RULE(
    'explainQuery',
    (): ExplainQuery => {
      this.CONSUME(TOKENS.explain);
      this.CONSUME(TOKENS.request);
      return {kind: QueryKind.Explain, requestId: this.SUBRULE(this.name)};
    },
  );

  private readonly keyHistoryQuery = this.RULE(
    'keyHistoryQuery',
    (): KeyHistoryQuery => {
      this.CONSUME(TOKENS.what);
      this.CONSUME(TOKENS.happened);
      this.CONSUME(TOKENS.to);
      this.CONSUME(TOKENS.key);
      return {kind: QueryKind.KeyHistory, key: this.SUBRULE(this.name)};
    },
  );

  private readonly setCommand = this.RULE('setCommand', (): SetCommand => {
    this.CONSUME(TOKENS.set);
    const list = this.OR<SetCommand['list']>([
      {
        ALT: () => {
          this.CONSUME(TOKENS.class);
          return 'classes';
        },
      },
      {
        ALT: () => {
          this.CONSUME(TOKENS.workspace);
          return 'workspaces';
        },
      },
    ]);
    const name = this.SUBRULE(this.name);
    this.OPTION(() => this.CONSUME(TOKENS.limit));
    const field = this.CONSUME(TOKENS.word).image;
    const value = this.SUBRULE(this.literal);
    return {kind: QueryKind.Set, list, name, field, value};
  });

  private readonly drainCommand = this.RULE(
    'drainCommand',
    (): DrainCommand => {
      const isDrained = this.OR<boolean>([
        {
          ALT: () => {
            this.CONSUME(TOKENS.drain);
            return true;
          },
        },
        {
          ALT: () => {
            this.CONSUME(TOKENS.undrain);
            return false;
          },
        },
      ]);
      this.CONSUME(TOKENS.backend);
      const backend = this.SUBRULE(this.name);
      return {kind: QueryKind.Drain, backend, isDrained};
    },
  );

  private readonly settleCommand = this.RULE(
    'settleCommand',
    (): SettleCommand => {
      this.CONSUME(TOKENS.settle);
      this.CONSUME(TOKENS.request);
      const requestId = this.SUBRULE(this.name);
      this.CONSUME(TOKENS.as);
      const outcome = this.CONSUME(TOKENS.word).image;
      return {kind: QueryKind.Settle, requestId, outcome};
    },
  );

  /** The parser also runs once on placeholder tokens, to learn the grammar. */
  private quotedText(): string {
    const token = this.CONSUME(TOKENS.text);
    return this.ACTION(() => parseQuotedText(token));
  }

  constructor() {
    super(TOKEN_LIST, {maxLookahead: 1});
    this.performSelfAnalysis();
  }
}

function parseQuotedText({image}: IToken): string {
  return JSON.parse(image) as string;
}

function parseDurationMs({image}: IToken): number {
  const [, count, unit] = /^(\d+)(\w+)$/.exec(image) ?? [];
  return Number(count) * (MS_PER_UNIT[unit ?? ''] ?? 0);
}
