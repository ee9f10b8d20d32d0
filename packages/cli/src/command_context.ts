import type {OperatorSession} from './operator_session.js';
import type {OutputFormat} from './output_format.js';

/** Connections and output format that every command gets. */
export interface CommandContext {
  readonly session: OperatorSession;
  readonly output: OutputFormat;
}
