// Runs the bundle of the same name with its code cache, so that a process doesn't
// compile it at each start. Without a cache, or with one that this Node.js doesn't
// accept, the bundle is compiled as usual.
'use strict';
const {readFileSync} = require('node:fs');
const {wrap} = require('node:module');
const {basename, dirname, join} = require('node:path');
const {emitWarning} = require('node:process');
const {Script} = require('node:vm');

const filename = join(
  dirname(module.filename),
  'bundles',
  basename(module.filename),
);
let cachedData;
try {
  cachedData = readFileSync(`${filename}.cache`);
} catch (err) {
  emitWarning(`No code cache: ${err.message}`);
}
const script = new Script(wrap(readFileSync(filename, 'utf8')), {
  filename,
  cachedData,
});
if (script.cachedDataRejected)
  emitWarning('The code cache belongs to other flags or another Node.js.');
script
  .runInThisContext()
  .call(exports, exports, require, module, filename, dirname(filename));
