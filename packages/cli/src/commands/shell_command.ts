import {createInterface} from 'node:readline/promises';
import {KEYWORD_TEXTS, Subject} from '@vanillamux/query';
import type {CommandContext} from '../command_context.js';
import {ExitCode} from '../exit_code.js';
import {StatementExecutor} from '../statement_executor.js';

const COMPLETIONS = [...KEYWORD_TEXTS, ...Object.values(Subject), 'exit'];

/** Reads statements from the terminal, with history and completion. */
export async function shellCommand(ctx: CommandContext): Promise<ExitCode> {
  const executor = new StatementExecutor(ctx);
  const terminal = createInterface({
    input: process.stdin,
    output: process.stdout,
    completer: completeWord,
    prompt: 'vmux> ',
  });
  terminal.prompt();
  for await (const line of terminal) {
    const statement = line.trim();
    if (statement === 'exit') break;
    if (statement !== '') await executor.parseAndExecute(statement);
    terminal.prompt();
  }
  terminal.close();
  return ExitCode.Ok;
}

function completeWord(line: string): [string[], string] {
  const prefix = /\S*$/.exec(line)?.[0] ?? '';
  const matches = COMPLETIONS.filter(candidate => candidate.startsWith(prefix));
  return [matches, prefix];
}
