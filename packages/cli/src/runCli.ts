import type { BaseContext } from 'clipanion';
import { createCli } from './createCli';
import { EXIT_CODE } from './exitCode';

/** Runs a command line; returns its exit code, which is 2 if the command line can't be parsed. */
export const runCli = async (
  commandArguments: readonly string[],
  context: Partial<BaseContext> = {},
): Promise<number> => {
  const cli = createCli();
  const stderr = context.stderr ?? process.stderr;
  try {
    return await cli.run(cli.process([...commandArguments], context), context);
  } catch (error) {
    stderr.write(cli.error(error, { colored: false }));
    return EXIT_CODE.wrongUsage;
  }
};
