import {readdir, readFile, stat} from 'node:fs/promises';
import {extname, join} from 'node:path';
import {
  checkReferences,
  declarationsSchema,
  type Declarations,
} from '@vanillamux/protocol';
import {
  fail,
  findFieldLine,
  parseYaml,
  SettingsError,
  succeed,
  type Result,
  type SettingsIssue,
} from '@vanillamux/shared';
import {LineCounter, parseDocument} from 'yaml';

const YAML_EXTENSIONS = new Set(['.yaml', '.yml']);

type Section = keyof Declarations;

/** A file with the declarations that it holds. */
interface LoadedFile {
  readonly file: string;
  readonly text: string;
  readonly document: Declarations;
}

/**
 * Reads declarations from a file, or from every YAML file of a folder; lists
 * of the same name are joined in the order of the file names.
 */
export async function loadDeclarations(
  path: string,
): Promise<Result<Declarations, SettingsError>> {
  const files = await listFiles(path);
  if (!files.ok) return files;
  const loaded: LoadedFile[] = [];
  const faults: SettingsIssue[] = [];
  for (const file of files.value) {
    const text = await readFile(file, 'utf8');
    const parsed = parseYaml(text, declarationsSchema, file);
    if (parsed.ok) loaded.push({file, text, document: parsed.value});
    else faults.push(...parsed.error.issues);
  }
  if (faults.length > 0) return fail(new SettingsError(faults));
  const joined = joinDocuments(loaded.map(({document}) => document));
  const missing = checkReferences(joined).map(({field, expected}) =>
    locate(field, expected, loaded),
  );
  if (missing.length > 0) return fail(new SettingsError(missing));
  return succeed(joined);
}

async function listFiles(
  path: string,
): Promise<Result<string[], SettingsError>> {
  try {
    const info = await stat(path);
    if (!info.isDirectory()) return succeed([path]);
    const names = await readdir(path);
    const files = names
      .filter(name => YAML_EXTENSIONS.has(extname(name)))
      .sort()
      .map(name => join(path, name));
    if (files.length > 0) return succeed(files);
    return fail(createFileError(path, 'a folder with at least one YAML file'));
  } catch {
    return fail(createFileError(path, 'a readable file or folder'));
  }
}

function createFileError(file: string, expected: string): SettingsError {
  return new SettingsError([{file, line: 0, field: '', expected}]);
}

function joinDocuments(documents: readonly Declarations[]): Declarations {
  return {
    workspaces: documents.flatMap(({workspaces}) => workspaces),
    classes: documents.flatMap(({classes}) => classes),
    routing: documents.flatMap(({routing}) => routing),
    services: documents.flatMap(({services}) => services),
    backends: documents.flatMap(({backends}) => backends),
  };
}

/** Finds the file and line of a field of the joined document. */
function locate(
  field: string,
  expected: string,
  loaded: readonly LoadedFile[],
): SettingsIssue {
  const [section, position = '0', ...rest] = field.split('.');
  let index = Number(position);
  for (const {file, text, document} of loaded) {
    const {length} = document[section as Section];
    if (index < length) {
      const path = [section!, index, ...rest];
      const lines = new LineCounter();
      const yaml = parseDocument(text, {lineCounter: lines});
      const line = findFieldLine(yaml, path, lines);
      return {file, line, field: path.join('.'), expected};
    }
    index -= length;
  }
  return {file: loaded[0]?.file ?? '', line: 0, field, expected};
}
