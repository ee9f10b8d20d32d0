import {SettleOutcome} from '@vanillamux/control';
import type {Declarations} from '@vanillamux/protocol';
import {declarationsSchema} from '@vanillamux/protocol';
import {
  findUnknownFields,
  parseQuery,
  QueryKind,
  selectRows,
  type DrainCommand,
  type Query,
  type SetCommand,
  type ShowQuery,
} from '@vanillamux/query';
import type {CommandContext} from './command_context.js';
import {applyDocument} from './commands/apply_command.js';
import {explainCommand} from './commands/explain_command.js';
import {settleCommand} from './commands/settle_command.js';
import {ExitCode} from './exit_code.js';
import {loadQueryRows} from './load_query_rows.js';
import {printRows} from './print_rows.js';
import {reportError} from './report_error.js';

/** Runs statements of the query and command language. */
export class StatementExecutor {
  constructor(private readonly ctx: CommandContext) {}

  /** Parses and runs one statement. */
  async parseAndExecute(text: string): Promise<ExitCode> {
    const parsed = parseQuery(text);
    if (!parsed.ok) {
      process.stderr.write(`${parsed.error.message}\n`);
      return ExitCode.BadInput;
    }
    return this.execute(parsed.value);
  }

  private execute(query: Query): Promise<ExitCode> {
    switch (query.kind) {
      case QueryKind.Show:
        return this.showRows(query);
      case QueryKind.Explain:
        return explainCommand(this.ctx, query.requestId);
      case QueryKind.KeyHistory:
        return this.explainKey(query.key);
      case QueryKind.Set:
        return this.editDeclarations(document => setField(document, query));
      case QueryKind.Drain:
        return this.editDeclarations(document => setDrained(document, query));
      case QueryKind.Settle:
        return this.settle(query.requestId, query.outcome);
    }
  }

  private async showRows(query: ShowQuery): Promise<ExitCode> {
    const rows = await loadQueryRows(this.ctx.session, query);
    if (!rows.ok) return reportError(rows.error);
    const [unknown] = findUnknownFields(rows.value, query);
    if (unknown) {
      const known = Object.keys(rows.value[0]!).join(', ');
      process.stderr.write(`No field "${unknown}"; there are: ${known}\n`);
      return ExitCode.BadInput;
    }
    printRows(selectRows(rows.value, query), this.ctx.output);
    return ExitCode.Ok;
  }

  private async explainKey(idempotencyKey: string): Promise<ExitCode> {
    const {entries} = await this.ctx.session.collectRecord({idempotencyKey});
    const ids = new Set(entries.flatMap(({requestId}) => requestId ?? []));
    if (ids.size === 0) {
      process.stderr.write(`The record has no key ${idempotencyKey}.\n`);
      return ExitCode.NotFound;
    }
    for (const id of ids) await explainCommand(this.ctx, id);
    return ExitCode.Ok;
  }

  private settle(requestId: string, outcome: string): Promise<ExitCode> {
    const settleOutcome = [SettleOutcome.Done, SettleOutcome.NotRun].find(
      item => item === outcome,
    );
    if (settleOutcome) return settleCommand(this.ctx, requestId, settleOutcome);
    process.stderr.write('Settle as done or as not_run.\n');
    return Promise.resolve(ExitCode.BadInput);
  }

  /** Edits the declarations in force and puts them in force again. */
  private async editDeclarations(
    edit: (document: Declarations) => string | undefined,
  ): Promise<ExitCode> {
    const current = await this.ctx.session.control.callLeader((api, signal) =>
      api.declarations.current.query(undefined, {signal}),
    );
    if (!current.ok) return reportError(current.error);
    const document = structuredClone(current.value.document);
    const editIssue = edit(document);
    if (editIssue) {
      process.stderr.write(`${editIssue}\n`);
      return ExitCode.BadInput;
    }
    const checked = declarationsSchema.safeParse(document);
    if (!checked.success) {
      const [issue] = checked.error.issues;
      process.stderr.write(`${issue?.path.join('.')}: ${issue?.message}\n`);
      return ExitCode.BadInput;
    }
    const expect = current.value.version;
    return applyDocument(this.ctx, checked.data, {expect});
  }
}

function setField(
  document: Declarations,
  {list, name, field, value}: SetCommand,
): string | undefined {
  const items: Array<{name: string}> = document[list];
  const item = items.find(candidate => candidate.name === name);
  if (!item) return `"${name}" is not in ${list}`;
  (item as Record<string, unknown>)[field] = value;
  return undefined;
}

function setDrained(
  document: Declarations,
  {backend, isDrained}: DrainCommand,
): string | undefined {
  const existing = document.backends.find(({id}) => id === backend);
  if (existing) existing.drained = isDrained;
  else {
    // The first match decides on fencing; it must stay what it was.
    const matchingPattern = document.backends.find(
      ({id}) => id.endsWith('*') && backend.startsWith(id.slice(0, -1)),
    );
    const checksFencing = matchingPattern?.checksFencing ?? false;
    document.backends.unshift({
      id: backend,
      checksFencing,
      drained: isDrained,
    });
  }
  return undefined;
}
