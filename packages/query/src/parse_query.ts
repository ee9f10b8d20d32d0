import {Lexer, type IRecognitionException} from 'chevrotain';
import {fail, succeed, type Result} from '@vanillamux/shared';
import type {Query} from './query.js';
import {QueryError} from './query_error.js';
import {QueryKind} from './query_kind.js';
import {QueryParser} from './query_parser.js';
import {Subject} from './subject.js';
import {suggestWord} from './suggest_word.js';
import {KEYWORD_TEXTS, TOKEN_LIST} from './tokens.js';

const SUBJECTS: string[] = Object.values(Subject);
const lexer = new Lexer(TOKEN_LIST);
const parser = new QueryParser();

/** Parses a statement; an error points at the column and suggests a word. */
export function parseQuery(text: string): Result<Query, QueryError> {
  const {tokens, errors} = lexer.tokenize(text);
  const [lexingError] = errors;
  if (lexingError) {
    const column = lexingError.offset + 1;
    return fail(new QueryError(text, column, 'this character has no meaning'));
  }
  parser.input = tokens;
  const query = parser.statement();
  const [syntaxError] = parser.errors;
  if (syntaxError) return fail(createSyntaxError(text, syntaxError));
  if (query.kind === QueryKind.Show && !SUBJECTS.includes(query.subject)) {
    const token = tokens[1]!;
    return fail(
      new QueryError(
        text,
        token.startOffset + 1,
        `expected one of ${SUBJECTS.join(', ')}`,
        suggestWord(token.image, SUBJECTS),
      ),
    );
  }
  return succeed(query);
}

function createSyntaxError(
  text: string,
  {token}: IRecognitionException,
): QueryError {
  const isEndOfInput = token.image === '';
  const column = isEndOfInput
    ? text.trimEnd().length + 1
    : token.startOffset + 1;
  const reason = isEndOfInput
    ? 'the statement ends too early'
    : `"${token.image}" does not fit here`;
  return new QueryError(
    text,
    column,
    reason,
    isEndOfInput
      ? undefined
      : suggestWord(token.image, [...KEYWORD_TEXTS, ...SUBJECTS]),
  );
}
