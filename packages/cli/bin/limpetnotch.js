#!/usr/bin/env node
const { existsSync } = require('node:fs');
const { join } = require('node:path');

const main = join(__dirname, '..', 'dist', 'main.js');
if (existsSync(main)) {
  require(main);
} else {
  process.stderr.write('limpetnotch is not built yet: run `npm run build` first\n');
  process.exitCode = 2;
}
