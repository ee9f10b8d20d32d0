import {readdirSync} from 'node:fs';
import {join} from 'node:path';

/** Returns the paths of files below `folder` that match `pattern`, sorted. */
export function findFiles(folder, pattern) {
  const paths = [];
  for (const entry of readdirSync(folder, {withFileTypes: true})) {
    if (entry.name === 'node_modules') continue;
    const path = join(folder, entry.name);
    if (entry.isDirectory()) paths.push(...findFiles(path, pattern));
    else if (pattern.test(path)) paths.push(path);
  }
  return paths.sort();
}
