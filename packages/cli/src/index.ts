export { createCli } from './createCli';
export { EXIT_CODE } from './exitCode';
export type { ExitCode } from './exitCode';
export { runCli } from './runCli';
