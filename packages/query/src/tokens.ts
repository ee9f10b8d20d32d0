import {createToken, Lexer, type TokenType} from 'chevrotain';

const Word = createToken({name: 'word', pattern: /[A-Za-z_][\w./#:+-]*/});

function keyword(word: string): TokenType {
  return createToken({
    name: word,
    pattern: new RegExp(`${word}(?![\\w./#:+-])`, 'i'),
    longer_alt: Word,
    categories: [Word],
  });
}

/** Words with a meaning in the language; all may also be names. */
const KEYWORDS = {
  show: keyword('show'),
  where: keyword('where'),
  and: keyword('and'),
  since: keyword('since'),
  order: keyword('order'),
  by: keyword('by'),
  asc: keyword('asc'),
  desc: keyword('desc'),
  limit: keyword('limit'),
  explain: keyword('explain'),
  request: keyword('request'),
  what: keyword('what'),
  happened: keyword('happened'),
  to: keyword('to'),
  key: keyword('key'),
  set: keyword('set'),
  class: keyword('class'),
  workspace: keyword('workspace'),
  drain: keyword('drain'),
  undrain: keyword('undrain'),
  backend: keyword('backend'),
  settle: keyword('settle'),
  as: keyword('as'),
  like: keyword('like'),
};

/** Tokens of the language. */
export const TOKENS = {
  ...KEYWORDS,
  word: Word,
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
