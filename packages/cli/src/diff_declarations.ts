import type {Declarations} from '@vanillamux/protocol';
import {createTwoFilesPatch} from 'diff';
import {stringify} from 'yaml';

/** Renders the difference of two documents as a unified diff. */
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
