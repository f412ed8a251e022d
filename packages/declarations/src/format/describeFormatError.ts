import type { FormatError } from './formatError';

/** Describes a format error in one sentence. */
export const describeFormatError = (error: FormatError): string => {
  switch (error.kind) {
    case 'corrupt':
      return `${error.value} is corrupt: ${error.detail}`;
    case 'newer-format':
      return `${error.value} has format version ${error.found}; this software supports up to ${error.supported} and must be upgraded`;
    case 'missing-value':
      return `${error.value} is missing`;
    case 'too-large':
      return `${error.value} takes ${error.bytes} bytes; at most ${error.maximumBytes} can be stored`;
  }
};
