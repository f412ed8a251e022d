import { describeFormatError } from '../format/describeFormatError';
import type { ApplyError } from './applyError';

/** Says in one sentence why a root value was not put in force. */
export const describeApplyError = (error: ApplyError): string => {
  switch (error.kind) {
    case 'source-unreachable':
      return error.detail;
    case 'lower-revision':
      return `revision ${error.offered} is lower than ${error.current}, which is in force`;
    case 'revision-reused':
      return `revision ${error.revision} stands with two contents`;
    case 'corrupt':
    case 'newer-format':
    case 'missing-value':
    case 'too-large':
      return describeFormatError(error);
  }
};
