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

await build({
  entryPoints: ['platform/src/main.ts', 'platform/src/storageMain.ts'],
  outdir: 'target',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  keepNames: true,
  logLevel: 'warning',
  tsconfig: 'tsconfig.base.json',
  external: UNUSED_OPTIONAL_PACKAGES,
});
