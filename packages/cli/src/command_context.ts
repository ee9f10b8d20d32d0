import type {OperatorSession} from './operator_session.js';
import type {OutputFormat} from './output_format.js';

/** What every command works with. */
export interface CommandContext {
  readonly session: OperatorSession;
  readonly output: OutputFormat;
}
