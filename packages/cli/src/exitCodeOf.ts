import type { PublishError } from '@limpetnotch/declarations';
import type { CommandError } from './commandError';
import { EXIT_CODE } from './exitCode';
import type { ExitCode } from './exitCode';

const exitCodeOfPublishError = (error: PublishError): ExitCode => {
  switch (error.kind) {
    case 'conflict':
    case 'faults':
    case 'revision-not-kept':
    case 'format':
      return EXIT_CODE.refused;
    case 'store-unreachable':
    case 'outcome-unknown':
      return EXIT_CODE.unreachable;
  }
};

/** Returns the exit code of an error. */
export const exitCodeOf = (error: CommandError): ExitCode => {
  switch (error.kind) {
    case 'wrong-usage':
      return EXIT_CODE.wrongUsage;
    case 'faults':
    case 'not-applicable':
    case 'entry-refused':
      return EXIT_CODE.refused;
    case 'publish':
      return exitCodeOfPublishError(error.error);
    case 'store-unreachable':
    case 'entry-unreachable':
      return EXIT_CODE.unreachable;
  }
};
