import {createInterface} from 'node:readline/promises';
import {KEYWORD_TEXTS, Subject} from '@vanillamux/query';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {QuerySession} from '../query_session.js';

const WORDS = [...KEYWORD_TEXTS, ...Object.values(Subject), 'exit'];

/** Reads statements from the terminal, with history and completion. */
export async function shellCommand(ctx: CommandContext): Promise<ExitCode> {
  const session = new QuerySession(ctx);
  const lines = createInterface({
    input: process.stdin,
    output: process.stdout,
    completer: complete,
    prompt: 'vmux> ',
  });
  lines.prompt();
  for await (const line of lines) {
    const text = line.trim();
    if (text === 'exit') break;
    if (text !== '') await session.run(text);
    lines.prompt();
  }
  lines.close();
  return ExitCode.Ok;
}

function complete(line: string): [string[], string] {
  const word = /\S*$/.exec(line)?.[0] ?? '';
  const hits = WORDS.filter(candidate => candidate.startsWith(word));
  return [hits, word];
}
