import {readFile} from 'node:fs/promises';
import type {z} from 'zod';
import {fail} from './fail.js';
import {parseYaml} from './parse_yaml.js';
import type {Result} from './result.js';
import {SettingsError} from './settings_error.js';

/** Reads a YAML settings file and checks it against a schema. */
export async function loadSettings<T extends z.ZodTypeAny>(
  file: string,
  schema: T,
): Promise<Result<z.infer<T>, SettingsError>> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? 'unreadable';
    const expected = `a readable file (${reason})`;
    return fail(new SettingsError([{file, line: 0, field: '', expected}]));
  }
  return parseYaml(text, schema, file);
}
