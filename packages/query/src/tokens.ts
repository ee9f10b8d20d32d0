import {createToken, Lexer, type TokenType} from 'chevrotain';

const wordToken = createToken({name: 'word', pattern: /[A-Za-z_][\w./#:+-]*/});

function createKeyword(word: string): TokenType {
  return createToken({
    name: word,
    pattern: new RegExp(`${word}(?![\\w./#:+-])`, 'i'),
    longer_alt: wordToken,
    categories: [wordToken],
  });
}

/** Words with a meaning in the language; all may also be names. */
const KEYWORDS = {
  show: createKeyword('show'),
  where: createKeyword('where'),
  and: createKeyword('and'),
  since: createKeyword('since'),
  order: createKeyword('order'),
  by: createKeyword('by'),
  asc: createKeyword('asc'),
  desc: createKeyword('desc'),
  limit: createKeyword('limit'),
  explain: createKeyword('explain'),
  request: createKeyword('request'),
  what: createKeyword('what'),
  happened: createKeyword('happened'),
  to: createKeyword('to'),
  key: createKeyword('key'),
  set: createKeyword('set'),
  class: createKeyword('class'),
  workspace: createKeyword('workspace'),
  drain: createKeyword('drain'),
  undrain: createKeyword('undrain'),
  backend: createKeyword('backend'),
  settle: createKeyword('settle'),
  as: createKeyword('as'),
  like: createKeyword('like'),
};

/** Tokens of the language. */
export const TOKENS = {
  ...KEYWORDS,
  word: wordToken,
  duration: createToken({name: 'duration', pattern: /\d+(?:ms|s|m|h|d)\b/}),
  number: createToken({name: 'number', pattern: /-?\d+(?:\.\d+)?/}),
  text: createToken({name: 'text', pattern: /"(?:[^"\\]|\\.)*"/}),
  comparison: createToken({name: 'comparison', pattern: /!=|=|<|>/}),
  space: createToken({
    name: 'space',
    pattern: /\s+/,
    group: Lexer.SKIPPED,
  }),
};

/** Tokens in the order in which the lexer tries them. */
export const TOKEN_LIST: TokenType[] = [
  TOKENS.space,
  TOKENS.text,
  TOKENS.duration,
  TOKENS.number,
  TOKENS.comparison,
  ...Object.values(KEYWORDS),
  TOKENS.word,
];

/** Every word with a meaning, for completion. */
export const KEYWORD_TEXTS: string[] = Object.keys(KEYWORDS);
