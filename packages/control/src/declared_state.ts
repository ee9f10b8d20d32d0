import type {DeclaredVersion} from '@vanillamux/protocol';
import type {DeclareAnswer} from './answers.js';
import type {DeclareCommand} from './commands.js';

const MAX_HISTORY_VERSIONS = 64;
const MAX_REMEMBERED_COMMANDS = 4_096;

/** Serialized form of `DeclaredState`. */
export interface DeclaredSnapshot {
  readonly history: DeclaredVersion[];
  readonly answers: Array<[string, DeclareAnswer]>;
}

/** Accepted declarations with their recent history. */
export class DeclaredState {
  private history: DeclaredVersion[] = [];
  private answers = new Map<string, DeclareAnswer>();

  /** The version in force; version 0 is empty. */
  get current(): DeclaredVersion {
    return this.history.at(-1) ?? EMPTY_VERSION;
  }

  /**
   * Accepts a document if the expected version is the present one. A repeated
   * command id gets its first answer.
   */
  declare(command: DeclareCommand): DeclareAnswer {
    const first = this.answers.get(command.commandId);
    if (first) return first;
    const {version} = this.current;
    const accepted = command.expectedVersion === version;
    const answer = {accepted, version: accepted ? version + 1 : version};
    if (accepted) {
      this.history.push({
        version: answer.version,
        document: command.document,
        acceptedAtMs: command.atMs,
        operator: command.operator,
      });
      this.history = this.history.slice(-MAX_HISTORY_VERSIONS);
    }
    this.remember(command.commandId, answer);
    return answer;
  }

  /** Recent versions, oldest first. */
  versions(): readonly DeclaredVersion[] {
    return this.history;
  }

  save(): DeclaredSnapshot {
    return {history: this.history, answers: [...this.answers]};
  }

  load(snapshot: DeclaredSnapshot): void {
    this.history = snapshot.history.slice();
    this.answers = new Map(snapshot.answers);
  }

  private remember(commandId: string, answer: DeclareAnswer): void {
    this.answers.set(commandId, answer);
    if (this.answers.size <= MAX_REMEMBERED_COMMANDS) return;
    const [oldest] = this.answers.keys();
    if (oldest !== undefined) this.answers.delete(oldest);
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
