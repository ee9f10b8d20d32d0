import {isNode, type Document, type LineCounter} from 'yaml';

/**
 * Finds the line of the deepest node along `path` that the document has, or 1
 * if it has none.
 */
export function findFieldLine(
  document: Document,
  path: ReadonlyArray<string | number>,
  lines: LineCounter,
): number {
  for (let depth = path.length; depth > 0; depth--) {
    const node = document.getIn(path.slice(0, depth), true);
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
  }
  return 1;
}
