/** Minimum length of a shared part, in base64 characters; shorter parts are not worth sharing. */
const MINIMUM_SHARED_CHARACTERS = 256;

/** Number of characters compared at a time. */
const COMPARED_CHARACTERS = 4_096;

/** Number of base64 characters in a group, which encodes complete bytes. */
const GROUP_CHARACTERS = 4;

/** A request body, stored as its difference from the body of the previous call. */
export interface SharedBody {
  /** Number of base64 characters that the body shares with the body of the previous sequence. */
  readonly sharedBodyCharacters: number;
  /** Rest of the body in base64, after the shared part. */
  readonly requestBodyBase64: string;
}

/** Copies a string: a slice would keep the complete original string in memory. */
const copyText = (text: string): string => Buffer.from(text, 'latin1').toString('latin1');

const computeSharedCharacters = (left: string, right: string): number => {
  const limit = Math.min(left.length, right.length);
  let length = 0;
  while (length < limit) {
    const end = Math.min(limit, length + COMPARED_CHARACTERS);
    if (left.slice(length, end) !== right.slice(length, end)) break;
    length = end;
  }
  while (length < limit && left[length] === right[length]) length += 1;
  return length - (length % GROUP_CHARACTERS);
};

/**
 * Delta encoding of the request bodies in a history: chats resend earlier messages with each turn.
 */
export const sharedBody = {
  /** Returns the complete body, in base64, of a call in a history. */
  restore: (history: readonly SharedBody[], sequence: number): string => {
    const parts: string[] = [];
    let missingCharacters = Number.POSITIVE_INFINITY;
    for (let index = sequence; index >= 0 && missingCharacters > 0; index -= 1) {
      const { sharedBodyCharacters, requestBodyBase64 } = history[index] ?? {
        sharedBodyCharacters: 0,
        requestBodyBase64: '',
      };
      if (missingCharacters > sharedBodyCharacters) {
        parts.unshift(requestBodyBase64.slice(0, missingCharacters - sharedBodyCharacters));
        missingCharacters = sharedBodyCharacters;
      }
    }
    return parts.join('');
  },

  /** Encodes the body of the next call after a history. */
  encode: (history: readonly SharedBody[], body: string): SharedBody => {
    const previousBody = sharedBody.restore(history, history.length - 1);
    const sharedCharacters = computeSharedCharacters(previousBody, body);
    if (sharedCharacters < MINIMUM_SHARED_CHARACTERS) {
      return { sharedBodyCharacters: 0, requestBodyBase64: body };
    }
    return {
      sharedBodyCharacters: sharedCharacters,
      requestBodyBase64: copyText(body.slice(sharedCharacters)),
    };
  },
};
