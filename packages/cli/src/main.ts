import { runCli } from './runCli';

/** Entry point of the binary limpetnotch. */
const main = async (): Promise<void> => {
  process.exitCode = await runCli(process.argv.slice(2));
};

void main();
