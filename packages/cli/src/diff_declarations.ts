import type {Declarations} from '@vanillamux/protocol';
import {createTwoFilesPatch} from 'diff';
import {stringify} from 'yaml';

/** Formats the changes as a unified diff, which is empty if there are none. */
export function diffDeclarations(
  before: Declarations,
  after: Declarations,
  beforeName: string,
  afterName: string,
): string {
  const beforeText = stringify(before);
  const afterText = stringify(after);
  if (beforeText === afterText) return '';
  return createTwoFilesPatch(beforeName, afterName, beforeText, afterText);
}
