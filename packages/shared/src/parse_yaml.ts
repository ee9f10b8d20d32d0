import {LineCounter, parseDocument, type Document} from 'yaml';
import type {z} from 'zod';
import {fail} from './fail.js';
import {findFieldLine} from './find_field_line.js';
import type {Result} from './result.js';
import {SettingsError, type SettingsIssue} from './settings_error.js';
import {succeed} from './succeed.js';

/**
 * Parses YAML text and checks it against a schema. Each fault carries file,
 * line and field.
 */
export function parseYaml<T extends z.ZodTypeAny>(
  text: string,
  schema: T,
  file: string,
): Result<z.infer<T>, SettingsError> {
  const lines = new LineCounter();
  const document = parseDocument(text, {lineCounter: lines});
  if (document.errors.length > 0) {
    const issues = document.errors.map(error => ({
      file,
      line: lines.linePos(error.pos[0]).line,
      field: '',
      expected: `valid YAML (${error.message.split('\n')[0]})`,
    }));
    return fail(new SettingsError(issues));
  }
  const parsed = schema.safeParse(document.toJS() ?? {});
  if (parsed.success) return succeed(parsed.data as z.infer<T>);
  const issues = parsed.error.issues.flatMap(issue =>
    toSettingsIssues(issue, document, lines, file),
  );
  return fail(new SettingsError(issues));
}

function toSettingsIssues(
  issue: z.ZodIssue,
  document: Document,
  lines: LineCounter,
  file: string,
): SettingsIssue[] {
  const keys = 'keys' in issue ? issue.keys : undefined;
  const paths = keys
    ? keys.map(key => [...issue.path, key])
    : [issue.path.slice()];
  return paths.map(path => ({
    file,
    line: findFieldLine(document, path, lines),
    field: path.join('.'),
    expected: keys
      ? 'a known key; this one is unknown'
      : describeZodIssue(issue),
  }));
}

function describeZodIssue(issue: z.ZodIssue): string {
  if (issue.code === 'invalid_type') {
    return `expected ${issue.expected}, found ${issue.received}`;
  }
  return issue.message;
}
