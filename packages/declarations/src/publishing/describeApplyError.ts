import { describeFormatError } from '../format/describeFormatError';
import type { ApplyError } from './applyError';

/** Describes in one sentence why a root value was not applied. */
export const describeApplyError = (error: ApplyError): string => {
  switch (error.kind) {
    case 'source-unreachable':
      return error.detail;
    case 'lower-revision':
      return `revision ${error.offered} is lower than ${error.current}, which is in force`;
    case 'revision-reused':
      return `revision ${error.revision} was published with two different contents`;
    case 'corrupt':
    case 'newer-format':
    case 'missing-value':
    case 'too-large':
      return describeFormatError(error);
  }
};
