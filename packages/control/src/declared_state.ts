import type {DeclaredVersion} from '@vanillamux/protocol';
import type {DeclareResult} from './command_results.js';
import type {DeclareCommand} from './commands.js';

const MAX_HISTORY_VERSIONS = 64;
const MAX_STORED_RESULTS = 4_096;

/** Serialized form of `DeclaredState`. */
export interface DeclaredSnapshot {
  readonly history: DeclaredVersion[];
  readonly answers: Array<[string, DeclareResult]>;
}

/** Accepted declarations with their recent history. */
export class DeclaredState {
  private history: DeclaredVersion[] = [];
  private resultsByCommandId = new Map<string, DeclareResult>();

  /** The version in force; version 0 is empty. */
  get current(): DeclaredVersion {
    return this.history.at(-1) ?? EMPTY_VERSION;
  }

  /**
   * Accepts a document if the expected version is the present one. A repeated
   * command id gets its first answer.
   */
  declare(command: DeclareCommand): DeclareResult {
    const storedResult = this.resultsByCommandId.get(command.commandId);
    if (storedResult) return storedResult;
    const {version} = this.current;
    const accepted = command.expectedVersion === version;
    const result = {accepted, version: accepted ? version + 1 : version};
    if (accepted) {
      this.history.push({
        version: result.version,
        document: command.document,
        acceptedAtMs: command.atMs,
        operator: command.operator,
      });
      this.history = this.history.slice(-MAX_HISTORY_VERSIONS);
    }
    this.storeResult(command.commandId, result);
    return result;
  }

  /** Recent versions, oldest first. */
  versions(): readonly DeclaredVersion[] {
    return this.history;
  }

  save(): DeclaredSnapshot {
    return {history: this.history, answers: [...this.resultsByCommandId]};
  }

  load(snapshot: DeclaredSnapshot): void {
    this.history = snapshot.history.slice();
    this.resultsByCommandId = new Map(snapshot.answers);
  }

  private storeResult(commandId: string, result: DeclareResult): void {
    this.resultsByCommandId.set(commandId, result);
    if (this.resultsByCommandId.size <= MAX_STORED_RESULTS) return;
    const [oldest] = this.resultsByCommandId.keys();
    if (oldest !== undefined) this.resultsByCommandId.delete(oldest);
  }
}

const EMPTY_VERSION: DeclaredVersion = {
  version: 0,
  document: {
    workspaces: [],
    classes: [],
    routing: [],
    services: [],
    backends: [],
  },
  acceptedAtMs: 0,
  operator: '',
};
