import { execFileSync } from 'node:child_process';
import { copyFileSync, readFileSync, rmSync } from 'node:fs';
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

/** Returns the runtime flags of the entry role; a cache built with other flags is rejected. */
const runtimeFlags = () => {
  const { roles } = parse(readFileSync('deploy/system.toml', 'utf8'));
  const [, ...words] = roles.entry.run.split(' ');
  return words.slice(
    0,
    words.findIndex((word) => !word.startsWith('-')),
  );
};

rmSync('target/bundle.cache', { force: true });
await build({
  entryPoints: {
    bundle: 'platform/src/bundleEntry.ts',
    signals: 'platform/src/signalsEntry.ts',
    storage: 'platform/src/storageMain.ts',
  },
  outdir: 'target',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  logLevel: 'warning',
  tsconfig: 'tsconfig.base.json',
  external: UNUSED_OPTIONAL_PACKAGES,
});
copyFileSync('deploy/launch.cjs', 'target/main.js');
execFileSync(process.execPath, [...runtimeFlags(), 'deploy/writeCodeCache.cjs'], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
