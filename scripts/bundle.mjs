// Bundles the binaries for the users' platform into target/, so that a process
// reads only one file at startup.
import process from 'node:process';
import {readdirSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const packageNames = readdirSync(join(root, 'packages'));

await build({
  absWorkingDir: root,
  entryPoints: {
    'vmux-platform-gateway': 'platform/src/bin/vmux_platform_gateway.ts',
    'vmux-platform-control': 'platform/src/bin/vmux_platform_control.ts',
  },
  outdir: 'target',
  outExtension: {'.js': '.cjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: process.argv.includes('--minify'),
  // Resolves the packages to their TypeScript sources, so that no compiler has
  // to run before.
  alias: {
    undici: './scripts/undici_client.mjs',
    ...Object.fromEntries(
      packageNames.map(name => [
        `@vanillamux/${name}`,
        `./packages/${name}/src/index.ts`,
      ]),
    ),
  },
});
