import {readdirSync} from 'node:fs';
import {join} from 'node:path';

/** Lists files below `folder` whose path matches `pattern`, sorted. */
export function globSync(folder, pattern) {
  const found = [];
  for (const item of readdirSync(folder, {withFileTypes: true})) {
    if (item.name === 'node_modules') continue;
    const path = join(folder, item.name);
    if (item.isDirectory()) found.push(...globSync(path, pattern));
    else if (pattern.test(path)) found.push(path);
  }
  return found.sort();
}
