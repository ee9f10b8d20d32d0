// Writes the code cache of a bundle, FILE.cache: node FLAGS create_code_cache.cjs
// FILE. V8 accepts it only with the same flags.
'use strict';
const {readFileSync, writeFileSync} = require('node:fs');
const {wrap} = require('node:module');
const {argv} = require('node:process');
const {setFlagsFromString} = require('node:v8');
const {Script} = require('node:vm');

const filename = argv[2];
const source = wrap(readFileSync(filename, 'utf8'));
// Compiles every function, not only what runs while the bundle is loaded.
setFlagsFromString('--no-lazy');
const script = new Script(source, {filename});
// The cache holds a hash of the flags.
setFlagsFromString('--lazy');
writeFileSync(`${filename}.cache`, script.createCachedData());
