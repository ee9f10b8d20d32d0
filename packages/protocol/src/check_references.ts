import type {Declarations} from './declarations.js';

/** A name that is missing or declared twice. */
export interface ReferenceIssue {
  /** Path in the document, for example `routing.0.class`. */
  readonly field: string;
  readonly expected: string;
}

/** Checks that names are unique and that every reference has its target. */
export function checkReferences(document: Declarations): ReferenceIssue[] {
  const classes = new Set(document.classes.map(({name}) => name));
  const issues: ReferenceIssue[] = [];
  document.routing.forEach((rule, index) => {
    if (!classes.has(rule.class)) {
      issues.push(
        createMissingClassIssue(`routing.${index}.class`, rule.class),
      );
    }
  });
  document.services.forEach((service, index) => {
    if (!classes.has(service.class)) {
      issues.push(
        createMissingClassIssue(`services.${index}.class`, service.class),
      );
    }
  });
  issues.push(
    ...findDuplicateNames('workspaces', document.workspaces),
    ...findDuplicateNames('classes', document.classes),
    ...findDuplicateNames('services', document.services),
    ...findDuplicateKeys(document),
  );
  return issues;
}

function createMissingClassIssue(field: string, name: string): ReferenceIssue {
  return {field, expected: `a declared class; "${name}" is not declared`};
}

function findDuplicateNames(
  list: string,
  items: ReadonlyArray<{readonly name: string}>,
): ReferenceIssue[] {
  const seen = new Set<string>();
  const issues: ReferenceIssue[] = [];
  items.forEach(({name}, index) => {
    if (seen.has(name)) {
      const expected = `a unique name; "${name}" is declared twice`;
      issues.push({field: `${list}.${index}.name`, expected});
    }
    seen.add(name);
  });
  return issues;
}

function findDuplicateKeys(document: Declarations): ReferenceIssue[] {
  const owners = new Map<string, string>();
  const issues: ReferenceIssue[] = [];
  document.workspaces.forEach((workspace, index) => {
    for (const key of workspace.keys) {
      const owner = owners.get(key);
      if (owner !== undefined) {
        const expected = `a key of one workspace; "${owner}" has the same key`;
        issues.push({field: `workspaces.${index}.keys`, expected});
      }
      owners.set(key, workspace.name);
    }
  });
  return issues;
}
