import { describeFormatError } from '@limpetnotch/declarations';
import type { Fault, PublishError } from '@limpetnotch/declarations';
import type { CommandError } from './commandError';

const describeFault = (fault: Fault): string[] => [
  `${fault.file}:${fault.line}: ${fault.object}: ${fault.problem}: ${fault.message}`,
  `    cure: ${fault.cure}`,
];

const describeFaults = (faults: readonly Fault[]): string[] => [
  ...faults.flatMap(describeFault),
  `${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}; nothing was published`,
];

const describePublishError = (error: PublishError): string[] => {
  switch (error.kind) {
    case 'conflict':
      return [
        `conflict: the base is revision ${error.baseRevision}, but revision ${error.currentRevision} by ${error.author} (${error.publishedAt}) is current; nothing was published`,
        '    cure: run `limpetnotch diff`, then publish with the current revision as --base',
      ];
    case 'faults':
      return describeFaults(error.faults);
    case 'revision-not-kept':
      return [`revision ${error.revision} is not stored; nothing was published`];
    case 'format':
      return [`${describeFormatError(error.error)}; nothing was published`];
    case 'store-unreachable':
      return [`the store did not respond (${error.detail}); nothing was published`];
    case 'outcome-unknown':
      return [
        `the store did not respond (${error.detail}); revision ${error.revision} may have been published, with publish id ${error.publishId}`,
        '    cure: run `limpetnotch status` once the store responds, and publish again if the revision is missing',
      ];
  }
};

/** Describes in lines of text why a command failed. */
export const describeCommandError = (error: CommandError): string[] => {
  switch (error.kind) {
    case 'wrong-usage':
      return [...error.messages];
    case 'faults':
      return describeFaults(error.faults);
    case 'publish':
      return describePublishError(error.error);
    case 'not-applicable':
      return [error.message];
    case 'store-unreachable':
      return [`the store did not respond (${error.detail})`];
    case 'entry-unreachable':
      return [`${error.address} did not respond (${error.detail})`];
    case 'entry-refused':
      return [`${error.address} answered ${error.status}: ${error.detail}`];
  }
};
