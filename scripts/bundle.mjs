// Bundles the binaries for the users' platform into target/, so that a process
// reads few files at startup and has its code compiled.
import {spawnSync} from 'node:child_process';
import {copyFileSync, readdirSync, readFileSync, rmSync} from 'node:fs';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {build} from 'esbuild';

/** Characters of a line, so that a stack trace still tells the place. */
const LINE_LIMIT = 200;
/** Flags and binary of a role. */
const RUN_PATTERN = /^run = "node (.*?) ?target\/(\S+)\.cjs"$/gm;

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const packageNames = readdirSync(join(root, 'packages'));
const {values} = parseArgs({
  options: {
    minify: {type: 'boolean', default: false},
    outdir: {type: 'string', default: join(root, 'target')},
  },
});
const {minify, outdir} = values;

// V8 recognizes the bundle of a cache by its length only.
rmSync(join(outdir, 'bundles'), {recursive: true, force: true});

await build({
  absWorkingDir: root,
  entryPoints: {
    'vmux-platform-gateway': 'platform/src/bin/vmux_platform_gateway.ts',
    'vmux-platform-control': 'platform/src/bin/vmux_platform_control.ts',
  },
  outdir: join(outdir, 'bundles'),
  outExtension: {'.js': '.cjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify,
  // The process holds the source in memory; names stay for stack traces.
  minifyWhitespace: true,
  lineLimit: LINE_LIMIT,
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

const deployment = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
for (const [, flags, name] of deployment.matchAll(RUN_PATTERN)) {
  const {status} = spawnSync(
    process.execPath,
    [
      ...flags.split(' '),
      join(root, 'scripts/create_code_cache.cjs'),
      join(outdir, 'bundles', `${name}.cjs`),
    ],
    {stdio: ['ignore', 'inherit', 'inherit']},
  );
  if (status !== 0) process.exit(status ?? 1);
  copyFileSync(
    join(root, 'scripts/load_bundle.cjs'),
    join(outdir, `${name}.cjs`),
  );
}
