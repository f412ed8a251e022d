import { execFileSync } from 'node:child_process';
import { copyFileSync, readFileSync, rmSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { build } from 'esbuild';
import { parse } from 'smol-toml';

/** Optional packages that Nest loads only for applications that use them; this one doesn't. */
const UNUSED_OPTIONAL_PACKAGES = [
  '@fastify/static',
  '@fastify/view',
  '@nestjs/microservices',
  '@nestjs/microservices/*',
  '@nestjs/platform-express',
  '@nestjs/websockets',
  '@nestjs/websockets/*',
  'class-transformer',
  'class-validator',
];

const ENTRY = 'platform/src/bundleEntry.ts';

/** Length of a line beyond which it is broken; the runtime quotes a line of each uncaught error. */
const LINE_CHARACTERS = 512;

const { values: options } = parseArgs({
  options: {
    outdir: { type: 'string', default: 'target' },
    entry: { type: 'string', default: ENTRY },
  },
});

/** Returns the runtime flags of the entry role; a cache built with other flags is rejected. */
const runtimeFlags = () => {
  const { roles } = parse(readFileSync('deploy/system.toml', 'utf8'));
  const [, ...words] = roles.entry.run.split(' ');
  return words.slice(
    0,
    words.findIndex((word) => !word.startsWith('-')),
  );
};

const cache = join(options.outdir, 'bundle.cache');
const standIns = resolve(options.outdir, 'standIns.js');

const common = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
  tsconfig: 'tsconfig.base.json',
  external: UNUSED_OPTIONAL_PACKAGES,
};

rmSync(cache, { force: true });
await build({
  ...common,
  entryPoints: {
    bundle: options.entry,
    signals: 'platform/src/signalsEntry.ts',
    storage: 'platform/src/storageMain.ts',
  },
  outdir: options.outdir,
  minifySyntax: true,
  minifyWhitespace: true,
  lineLimit: LINE_CHARACTERS,
});
copyFileSync('deploy/launch.cjs', join(options.outdir, 'main.js'));
if (options.entry === ENTRY) {
  await build({ ...common, entryPoints: ['packages/stand-ins/src/index.ts'], outfile: standIns });
  const words = [...runtimeFlags(), 'deploy/writeCodeCache.cjs', resolve(options.outdir), standIns];
  execFileSync(process.execPath, words, { stdio: ['ignore', 'ignore', 'inherit'] });
  rmSync(standIns);
}
