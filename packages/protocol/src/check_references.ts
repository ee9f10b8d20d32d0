import type {Declarations} from './declarations.js';

/** A name that is missing or declared twice. */
export interface ReferenceFault {
  /** Path in the document, for example `routing.0.class`. */
  readonly field: string;
  readonly expected: string;
}

/** Checks that names are unique and that every reference has its target. */
export function checkReferences(document: Declarations): ReferenceFault[] {
  const classes = new Set(document.classes.map(({name}) => name));
  const faults: ReferenceFault[] = [];
  document.routing.forEach((rule, index) => {
    if (!classes.has(rule.class)) {
      faults.push(missingClass(`routing.${index}.class`, rule.class));
    }
  });
  document.services.forEach((service, index) => {
    if (!classes.has(service.class)) {
      faults.push(missingClass(`services.${index}.class`, service.class));
    }
  });
  faults.push(
    ...findRepeats('workspaces', document.workspaces),
    ...findRepeats('classes', document.classes),
    ...findRepeats('services', document.services),
    ...findSharedKeys(document),
  );
  return faults;
}

function missingClass(field: string, name: string): ReferenceFault {
  return {field, expected: `a declared class; "${name}" is not declared`};
}

function findRepeats(
  list: string,
  items: ReadonlyArray<{readonly name: string}>,
): ReferenceFault[] {
  const seen = new Set<string>();
  const faults: ReferenceFault[] = [];
  items.forEach(({name}, index) => {
    if (seen.has(name)) {
      const expected = `a unique name; "${name}" is declared twice`;
      faults.push({field: `${list}.${index}.name`, expected});
    }
    seen.add(name);
  });
  return faults;
}

function findSharedKeys(document: Declarations): ReferenceFault[] {
  const owners = new Map<string, string>();
  const faults: ReferenceFault[] = [];
  document.workspaces.forEach((workspace, index) => {
    for (const key of workspace.keys) {
      const owner = owners.get(key);
      if (owner !== undefined) {
        const expected = `a key of one workspace; "${owner}" has the same key`;
        faults.push({field: `workspaces.${index}.keys`, expected});
      }
      owners.set(key, workspace.name);
    }
  });
  return faults;
}
