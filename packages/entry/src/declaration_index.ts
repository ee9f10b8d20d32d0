import {createHash} from 'node:crypto';
import type {
  ClassDeclaration,
  DeclaredVersion,
  RoutingRule,
  ServiceDeclaration,
  WorkspaceDeclaration,
} from '@vanillamux/protocol';

/** One version of the declarations, indexed for look-ups. */
export class DeclarationIndex {
  readonly version: number;
  readonly workspaceNames: ReadonlySet<string>;
  private readonly workspacesByKey = new Map<string, WorkspaceDeclaration>();
  private readonly classes = new Map<string, ClassDeclaration>();
  private readonly services = new Map<string, ServiceDeclaration>();
  private readonly drained: readonly string[];
  private readonly rules = new Map<string, RoutingRule[]>();

  constructor(readonly declared?: DeclaredVersion) {
    this.version = declared?.version ?? 0;
    const document = declared?.document;
    for (const workspace of document?.workspaces ?? []) {
      for (const key of workspace.keys) {
        this.workspacesByKey.set(key, workspace);
      }
    }
    this.workspaceNames = new Set(
      document?.workspaces.map(({name}) => name) ?? [],
    );
    for (const item of document?.classes ?? []) {
      this.classes.set(item.name, item);
    }
    for (const item of document?.services ?? []) {
      this.services.set(item.name, item);
    }
    this.drained = (document?.backends ?? [])
      .filter(({drained}) => drained)
      .map(({id}) => id);
    for (const rule of document?.routing ?? []) {
      const rules = this.rules.get(rule.model) ?? [];
      this.rules.set(rule.model, [...rules, rule]);
    }
  }

  /** The workspace that an API key belongs to. */
  findWorkspace(apiKey: string): WorkspaceDeclaration | undefined {
    const digest = createHash('sha256').update(apiKey).digest('hex');
    return this.workspacesByKey.get(`sha256:${digest}`);
  }

  findClass(name: string): ClassDeclaration | undefined {
    return this.classes.get(name);
  }

  findService(name: string): ServiceDeclaration | undefined {
    return this.services.get(name);
  }

  /** Whether an operator has taken a backend server out of use. */
  isDrained(backendId: string): boolean {
    return this.drained.some(pattern => matchesId(pattern, backendId));
  }

  /** Models that have a routing rule. */
  models(): string[] {
    return [...this.rules.keys()];
  }

  /** The first rule for a model that covers the prompt length. */
  findRule(model: string, promptTokens: number): RoutingRule | undefined {
    return this.rules
      .get(model)
      ?.find(
        ({maxPromptTokens}) => promptTokens <= (maxPromptTokens ?? Infinity),
      );
  }
}

/** Matches an id against itself or a prefix that ends in `*`. */
function matchesId(pattern: string, id: string): boolean {
  if (!pattern.endsWith('*')) return pattern === id;
  return id.startsWith(pattern.slice(0, -1));
}
