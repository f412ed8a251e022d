import { execFileSync } from 'node:child_process';
import { copyFileSync, rmSync } from 'node:fs';
import { build } from 'esbuild';

/** Parts of Nest that are loaded only where an application uses them; this one doesn't. */
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

/** The flag of the entry role in system.toml; a cache made with other flags is rejected. */
const ENTRY_HEAP_FLAG = '--max-old-space-size=160';

rmSync('target/bundle.cache', { force: true });
await build({
  entryPoints: { bundle: 'platform/src/bundleEntry.ts', storage: 'platform/src/storageMain.ts' },
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
execFileSync(process.execPath, [ENTRY_HEAP_FLAG, 'deploy/writeCodeCache.cjs'], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
