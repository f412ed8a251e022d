/* eslint-disable no-underscore-dangle -- the module loader has no public hook in Node.js 20 */
/**
 * Preloaded into a program: blocks on a named pipe when the program loads its command line parser,
 * before most of its modules.
 */
const { readFileSync } = require('node:fs');
const Module = require('node:module');

const load = Module._load;
Module._load = function loadHeld(name, ...others) {
  if (name === 'clipanion') {
    Module._load = load;
    readFileSync(process.env.HOLD_LOADING);
  }
  return load.call(this, name, ...others);
};
