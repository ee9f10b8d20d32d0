import {EvacuationAction, SettleOutcome} from '@vanillamux/control';
import {RecordKind} from '@vanillamux/protocol';
import {loadSettings, VERSION, type Address} from '@vanillamux/shared';
import {cac} from 'cac';
import type {CommandContext} from '../command_context.js';
import {applyCommand} from '../commands/apply_command.js';
import {backendsCommand} from '../commands/backends_command.js';
import {evacuationCommand} from '../commands/evacuation_command.js';
import {explainCommand} from '../commands/explain_command.js';
import {getCommand} from '../commands/get_command.js';
import {historyCommand, rollbackCommand} from '../commands/history_command.js';
import {
  addMemberCommand,
  listMembersCommand,
  removeMemberCommand,
} from '../commands/members_command.js';
import {orderCommand} from '../commands/order_command.js';
import {planCommand} from '../commands/plan_command.js';
import {
  exportRecordCommand,
  verifyRecordCommand,
} from '../commands/record_command.js';
import {listRequestsCommand} from '../commands/requests_command.js';
import {
  listReservationsCommand,
  settleCommand,
} from '../commands/settle_command.js';
import {shellCommand} from '../commands/shell_command.js';
import {statusCommand} from '../commands/status_command.js';
import {timelineCommand} from '../commands/timeline_command.js';
import {ExitCode} from '../exit_code.js';
import {loadDeclarations} from '../load_declarations.js';
import {operatorSettingsSchema} from '../operator_settings_schema.js';
import {OperatorSession} from '../operator_session.js';
import {OutputFormat} from '../output_format.js';
import {StatementExecutor} from '../statement_executor.js';

/** Flags that every command accepts. */
interface CommonFlags {
  readonly config: string;
  readonly output: string;
}

type CommandAction = (ctx: CommandContext) => Promise<ExitCode>;

const DEFAULT_REQUESTS_LIMIT = 50;
const cli = cac('vmux');
cli.option('--config <file>', 'Operator settings with the host addresses', {
  default: 'vmux.yaml',
});
cli.option('--output <format>', 'table or json', {default: OutputFormat.Table});

cli
  .command('plan', 'Show what apply would change')
  .option('-f, --file <path>', 'File or folder of declarations')
  .action((flags: CommonFlags & {file?: string}) =>
    runCommandWithFile(flags, flags.file, (ctx, path) =>
      planCommand(ctx, path),
    ),
  );
cli
  .command('apply', 'Put declarations in force')
  .option('-f, --file <path>', 'File or folder of declarations')
  .option('--expect <version>', 'Version that the change is based on')
  .option('--command-id <id>', 'Id of an earlier call whose answer was lost')
  .action(
    (
      flags: CommonFlags & {file?: string; expect?: number; commandId?: string},
    ) =>
      runCommandWithFile(flags, flags.file, (ctx, path) =>
        applyCommand(ctx, path, flags),
      ),
  );
cli
  .command('lint', 'Check declarations without a connection')
  .option('-f, --file <path>', 'File or folder of declarations')
  .action((flags: {file?: string}) => lintDeclarations(flags.file));
cli
  .command('get [list]', 'Show the declarations in force, or one list of them')
  .action((list: string | undefined, flags: CommonFlags) =>
    runCommand(flags, ctx => getCommand(ctx, list)),
  );
cli
  .command('history', 'List recent versions of the declarations')
  .action((flags: CommonFlags) => runCommand(flags, historyCommand));
cli
  .command('rollback <version>', 'Put an earlier version in force as a new one')
  .action((version: string, flags: CommonFlags) =>
    runCommand(flags, ctx => rollbackCommand(ctx, Number(version))),
  );
cli
  .command('status', 'Show every host with its role and version in force')
  .action((flags: CommonFlags) => runCommand(flags, statusCommand));
cli
  .command('backends', 'List the backend servers')
  .action((flags: CommonFlags) => runCommand(flags, backendsCommand));
cli
  .command('requests', 'List what was admitted, refused and completed')
  .option('--workspace <name>', 'Only this workspace')
  .option('--kind <kind>', Object.values(RecordKind).join(', '))
  .option('--key <key>', 'Only this idempotency key')
  .option('--limit <count>', 'Most entries per control host', {
    default: DEFAULT_REQUESTS_LIMIT,
  })
  .action(
    (
      flags: CommonFlags & {
        workspace?: string;
        kind?: RecordKind;
        key?: string;
        limit: number;
      },
    ) =>
      runCommand(flags, ctx =>
        listRequestsCommand(ctx, {
          workspace: flags.workspace,
          kind: flags.kind,
          idempotencyKey: flags.key,
          limit: flags.limit,
        }),
      ),
  );
cli
  .command('explain <request>', 'Tell what happened to a request, and why')
  .action((request: string, flags: CommonFlags) =>
    runCommand(flags, ctx => explainCommand(ctx, request)),
  );
cli
  .command('register', 'List at-most-once requests with unknown outcome')
  .option('--all', 'List the settled ones too')
  .action((flags: CommonFlags & {all?: boolean}) =>
    runCommand(flags, ctx => listReservationsCommand(ctx, flags.all === true)),
  );
cli
  .command('settle <request> <outcome>', 'Settle an unknown outcome')
  .example('vmux settle entry-a-6f0e done')
  .action((request: string, outcome: string, flags: CommonFlags) => {
    const settleOutcome = Object.values(SettleOutcome).find(
      item => item === outcome,
    );
    if (!settleOutcome || settleOutcome === SettleOutcome.Unknown) {
      return finish(ExitCode.BadInput, 'outcome: expected done or not_run');
    }
    return runCommand(flags, ctx => settleCommand(ctx, request, settleOutcome));
  });
cli
  .command('record <action>', 'verify: check every chain; export: JSON lines')
  .action((action: string, flags: CommonFlags) => {
    if (action === 'verify') return runCommand(flags, verifyRecordCommand);
    if (action === 'export') return runCommand(flags, exportRecordCommand);
    return finish(ExitCode.BadInput, 'action: expected verify or export');
  });
cli
  .command(
    'control <object> [action] [target]',
    'control members [add HOST:PORT | remove ID]',
  )
  .action(
    (
      object: string,
      action: string | undefined,
      target: string | undefined,
      flags: CommonFlags,
    ) => {
      if (object !== 'members') return rejectMembersArguments();
      if (!action) return runCommand(flags, listMembersCommand);
      const address = parseAddress(target ?? '');
      if (action === 'add' && address) {
        return runCommand(flags, ctx => addMemberCommand(ctx, address));
      }
      if (action === 'remove' && target) {
        return runCommand(flags, ctx => removeMemberCommand(ctx, target));
      }
      return rejectMembersArguments();
    },
  );
cli
  .command('timeline', 'Merge the events of all processes')
  .option('--request <id>', 'Only this request')
  .option('--host <host>', 'Only this host')
  .option('--kind <kind>', 'Only this kind')
  .option('--html <file>', 'Write a page that a person can read')
  .action(
    (
      flags: CommonFlags & {
        request?: string;
        host?: string;
        kind?: string;
        html?: string;
      },
    ) => runCommand(flags, ctx => timelineCommand(ctx, flags)),
  );
cli
  .command('order <backend> <model>', 'Order an engine to load a model')
  .action((backendId: string, model: string, flags: CommonFlags) =>
    runCommand(flags, ctx => orderCommand(ctx, {backendId, model})),
  );
cli
  .command('evacuate <domain>', 'Send nothing more to a failure domain')
  .action((domain: string, flags: CommonFlags) =>
    runCommand(flags, ctx =>
      evacuationCommand(ctx, String(domain), EvacuationAction.Begin),
    ),
  );
cli
  .command('readmit <domain>', 'Use an emptied failure domain again')
  .action((domain: string, flags: CommonFlags) =>
    runCommand(flags, ctx =>
      evacuationCommand(ctx, String(domain), EvacuationAction.Finish),
    ),
  );
cli
  .command('query <statement>', 'Run a statement of the query language')
  .example('vmux query "show requests where state = refused limit 20"')
  .action((statement: string, flags: CommonFlags) =>
    runCommand(flags, ctx =>
      new StatementExecutor(ctx).parseAndExecute(statement),
    ),
  );
cli
  .command('shell', 'Run statements from the terminal')
  .action((flags: CommonFlags) => runCommand(flags, shellCommand));
cli.help(sections => [
  ...sections,
  {
    title: 'Exit codes',
    body: '  0 ok, 1 failed, 2 bad input, 3 conflict, 4 not found, 5 record faulty',
  },
]);
cli.version(VERSION);
main();

function main(): void {
  try {
    cli.parse(process.argv, {run: false});
    if (!cli.matchedCommand) {
      if (cli.options['help'] || cli.options['version']) return;
      cli.outputHelp();
      process.exitCode = ExitCode.BadInput;
      return;
    }
    void cli.runMatchedCommand();
  } catch (error) {
    finish(ExitCode.BadInput, (error as Error).message);
  }
}

async function runCommand(
  flags: CommonFlags,
  action: CommandAction,
): Promise<void> {
  const output = Object.values(OutputFormat).find(
    format => format === flags.output,
  );
  if (!output)
    return finish(ExitCode.BadInput, 'output: expected table or json');
  const settings = await loadSettings(flags.config, operatorSettingsSchema);
  if (!settings.ok) return finish(ExitCode.BadInput, settings.error.message);
  const session = new OperatorSession(settings.value);
  const code = await action({session, output});
  session.close();
  finish(code);
}

async function runCommandWithFile(
  flags: CommonFlags,
  file: string | undefined,
  action: (ctx: CommandContext, path: string) => Promise<ExitCode>,
): Promise<void> {
  if (!file) return finish(ExitCode.BadInput, 'name declarations with -f PATH');
  return runCommand(flags, ctx => action(ctx, file));
}

async function lintDeclarations(file: string | undefined): Promise<void> {
  if (!file) return finish(ExitCode.BadInput, 'name declarations with -f PATH');
  const loaded = await loadDeclarations(file);
  if (!loaded.ok) return finish(ExitCode.BadInput, loaded.error.message);
  process.stdout.write('No faults found.\n');
  finish(ExitCode.Ok);
}

function rejectMembersArguments(): void {
  finish(ExitCode.BadInput, 'expected members [add HOST:PORT | remove ID]');
}

function parseAddress(text: string): Address | undefined {
  const [, host, port] = /^(.+):(\d+)$/.exec(text) ?? [];
  return host && port ? {host, port: Number(port)} : undefined;
}

function finish(code: ExitCode, message?: string): void {
  if (message) process.stderr.write(`${message}\n`);
  process.exitCode = code;
}
