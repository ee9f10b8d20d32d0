// Writes the code cache of a bundle, FILE.cache: node FLAGS create_code_cache.cjs
// FILE. V8 accepts it only with the same flags. Functions that V8 compiles when
// they are first called are left out: their code would stay in memory unused.
'use strict';
const {readFileSync, writeFileSync} = require('node:fs');
const {wrap} = require('node:module');
const {argv} = require('node:process');
const {Script} = require('node:vm');

const filename = argv[2];
const source = wrap(readFileSync(filename, 'utf8'));
const script = new Script(source, {filename});
writeFileSync(`${filename}.cache`, script.createCachedData());
