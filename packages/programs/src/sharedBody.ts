/** Least part worth sharing, in characters of base64. */
const MINIMUM_SHARED_CHARACTERS = 256;

/** Characters that are compared at once. */
const COMPARED_CHARACTERS = 4_096;

/** Characters of base64 that stand for whole bytes. */
const GROUP_CHARACTERS = 4;

/** A request's body, stored as what differs from the body of the call before it. */
export interface SharedBody {
  /** Characters of base64 that the body shares with the body of the sequence before. */
  readonly sharedBodyCharacters: number;
  /** The body in base64 after the shared part. */
  readonly requestBodyBase64: string;
}

/** Copies a part of a text: a plain slice would keep the whole text in memory. */
const copyOf = (text: string): string => Buffer.from(text, 'latin1').toString('latin1');

const sharedLength = (left: string, right: string): number => {
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

/** Functions on the bodies of a program's history, which chats send again with each turn. */
export const sharedBody = {
  /** Returns the whole body, in base64, of a call in a history. */
  wholeOf: (history: readonly SharedBody[], sequence: number): string => {
    const parts: string[] = [];
    let missing = Number.POSITIVE_INFINITY;
    for (let index = sequence; index >= 0 && missing > 0; index -= 1) {
      const { sharedBodyCharacters, requestBodyBase64 } = history[index] ?? {
        sharedBodyCharacters: 0,
        requestBodyBase64: '',
      };
      if (missing > sharedBodyCharacters) {
        parts.unshift(requestBodyBase64.slice(0, missing - sharedBodyCharacters));
        missing = sharedBodyCharacters;
      }
    }
    return parts.join('');
  },

  /** Stores the body of the call that follows a history. */
  store: (history: readonly SharedBody[], body: string): SharedBody => {
    const before = sharedBody.wholeOf(history, history.length - 1);
    const shared = sharedLength(before, body);
    if (shared < MINIMUM_SHARED_CHARACTERS) {
      return { sharedBodyCharacters: 0, requestBodyBase64: body };
    }
    return { sharedBodyCharacters: shared, requestBodyBase64: copyOf(body.slice(shared)) };
  },
};
