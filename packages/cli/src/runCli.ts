import type { BaseContext } from 'clipanion';
import { createCli } from './createCli';
import { EXIT_CODE } from './exitCode';

/** Runs a command line; returns its exit code. A command line that can't be read exits with 2. */
export const runCli = async (
  words: readonly string[],
  context: Partial<BaseContext> = {},
): Promise<number> => {
  const cli = createCli();
  const stderr = context.stderr ?? process.stderr;
  try {
    return await cli.run(cli.process([...words], context), context);
  } catch (error) {
    stderr.write(cli.error(error, { colored: false }));
    return EXIT_CODE.wrongUsage;
  }
};
