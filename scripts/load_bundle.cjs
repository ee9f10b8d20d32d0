// Runs the bundle of the same name with its code cache, so that a process doesn't
// compile it at each start. Without a cache, or with one that this Node.js doesn't
// accept, the bundle is compiled as usual.
'use strict';
const {readFileSync} = require('node:fs');
const {wrap} = require('node:module');
const {basename, dirname, join} = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

// A reload that is asked for now is met by the settings, which are read later.
process.on('SIGHUP', () => undefined);

const filename = join(
  dirname(module.filename),
  'bundles',
  basename(module.filename),
);
let cachedData;
try {
  cachedData = readFileSync(`${filename}.cache`);
} catch (err) {
  process.emitWarning(`No code cache: ${err.message}`);
}
const script = new Script(wrap(readFileSync(filename, 'utf8')), {
  filename,
  cachedData,
});
if (script.cachedDataRejected)
  process.emitWarning(
    'The code cache belongs to other flags or another Node.js.',
  );
script
  .runInThisContext()
  .call(exports, exports, require, module, filename, dirname(filename));
