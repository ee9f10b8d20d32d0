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
  private readonly classesByName = new Map<string, ClassDeclaration>();
  private readonly servicesByName = new Map<string, ServiceDeclaration>();
  private readonly drainedPatterns: readonly string[];
  private readonly rulesByModel = new Map<string, RoutingRule[]>();

  constructor(readonly declaredVersion?: DeclaredVersion) {
    this.version = declaredVersion?.version ?? 0;
    const document = declaredVersion?.document;
    for (const workspace of document?.workspaces ?? []) {
      for (const key of workspace.keys) {
        this.workspacesByKey.set(key, workspace);
      }
    }
    this.workspaceNames = new Set(
      document?.workspaces.map(({name}) => name) ?? [],
    );
    for (const item of document?.classes ?? []) {
      this.classesByName.set(item.name, item);
    }
    for (const item of document?.services ?? []) {
      this.servicesByName.set(item.name, item);
    }
    this.drainedPatterns = (document?.backends ?? [])
      .filter(({drained}) => drained)
      .map(({id}) => id);
    for (const rule of document?.routing ?? []) {
      const rules = this.rulesByModel.get(rule.model) ?? [];
      this.rulesByModel.set(rule.model, [...rules, rule]);
    }
  }

  /** The workspace that an API key belongs to. */
  findWorkspace(apiKey: string): WorkspaceDeclaration | undefined {
    const digest = createHash('sha256').update(apiKey).digest('hex');
    return this.workspacesByKey.get(`sha256:${digest}`);
  }

  findClass(name: string): ClassDeclaration | undefined {
    return this.classesByName.get(name);
  }

  findService(name: string): ServiceDeclaration | undefined {
    return this.servicesByName.get(name);
  }

  /** Whether an operator has taken a backend server out of use. */
  isDrained(backendId: string): boolean {
    return this.drainedPatterns.some(pattern =>
      matchesIdPattern(pattern, backendId),
    );
  }

  /** Models that have a routing rule. */
  listModels(): string[] {
    return [...this.rulesByModel.keys()];
  }

  /** The first rule for a model that covers the prompt length. */
  findRule(model: string, promptTokens: number): RoutingRule | undefined {
    return this.rulesByModel
      .get(model)
      ?.find(
        ({maxPromptTokens}) => promptTokens <= (maxPromptTokens ?? Infinity),
      );
  }
}

/** Matches an id against itself or a prefix that ends in `*`. */
function matchesIdPattern(pattern: string, id: string): boolean {
  if (!pattern.endsWith('*')) return pattern === id;
  return id.startsWith(pattern.slice(0, -1));
}
