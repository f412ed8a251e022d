import type { FormatError } from './formatError';

/** Says in one sentence what is wrong with a stored value. */
export const describeFormatError = (error: FormatError): string => {
  switch (error.kind) {
    case 'corrupt':
      return `${error.value} is corrupt: ${error.detail}`;
    case 'newer-format':
      return `${error.value} has format version ${error.found}; this version reads up to ${error.supported}: upgrade it`;
    case 'missing-value':
      return `${error.value} is missing`;
    case 'too-large':
      return `${error.value} takes ${error.bytes} bytes; at most ${error.maximumBytes} can be stored`;
  }
};
