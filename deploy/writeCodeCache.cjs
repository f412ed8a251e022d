const { writeFileSync } = require('node:fs');
const { join } = require('node:path');

/** Absolute path of the folder of the bundle. */
const [, , target] = process.argv;
const { script, warmUp } = require(join(target, 'main.js'));

/** The cache contains the functions that have run; others are compiled on their first call. */
warmUp().then(() => {
  writeFileSync(join(target, 'bundle.cache'), script.createCachedData());
  process.exit(0);
});
