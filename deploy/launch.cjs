const { join } = require('node:path');

const isProgram = require.main === module;

/** Installed first: the bundle takes longer to load than a signal may stay without a listener. */
const signals = isProgram
  ? require(join(__dirname, 'signals.js')).ProcessSignals.install({ isReloadable: true })
  : undefined;

const { readFileSync } = require('node:fs');
const { createRequire } = require('node:module');
const { Script } = require('node:vm');

const BUNDLE = join(__dirname, 'bundle.js');
const CODE_CACHE = join(__dirname, 'bundle.cache');

/**
 * Name of the bundle in stack traces; names no file. The runtime quotes the source of an assertion
 * that failed without a message, and parses up to half a megabyte of the file for it.
 */
const SOURCE_NAME = 'limpetnotch:bundle.js';

/** Returns the code cache of the build; undefined if there is none, which only slows the start. */
const readCache = () => {
  try {
    return readFileSync(CODE_CACHE);
  } catch {
    return undefined;
  }
};

/** Compiles the bundle, using its code cache if that matches this version of the runtime. */
const compile = () => {
  const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(BUNDLE, 'utf8')}\n})`;
  return new Script(source, { filename: SOURCE_NAME, cachedData: readCache() });
};

const script = compile();
const bundle = { exports: {} };
script.runInThisContext()(bundle.exports, createRequire(BUNDLE), bundle, BUNDLE, __dirname);

module.exports = { script, ...bundle.exports };

if (isProgram) {
  bundle.exports.runCli(process.argv.slice(2), signals).then((code) => {
    process.exit(code);
  });
}
