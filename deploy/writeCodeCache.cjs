const { writeFileSync } = require('node:fs');
const { join } = require('node:path');

const target = join(__dirname, '..', 'target');
const { script, warmUp } = require(join(target, 'main.js'));

/** Functions that ran are in the cache, the others are compiled when they are first called. */
warmUp().then(() => {
  writeFileSync(join(target, 'bundle.cache'), script.createCachedData());
  process.exit(0);
});
