import type { BodyError } from './readBody';
import type { Refusal } from './refusal';

/** Time after which unfinished requests have been refused or have ended. */
const RETRY_AFTER_SECONDS = 1;

/** Returns how a request is refused whose body could not be read; undefined if its caller has left. */
export const toBodyRefusal = (error: BodyError): Refusal | undefined => {
  switch (error) {
    case 'too-large':
      return { kind: 'body-too-large' };
    case 'too-slow':
      return { kind: 'too-slow' };
    case 'overloaded': {
      const retryAfterSeconds = RETRY_AFTER_SECONDS;
      return { kind: 'unavailable', reason: 'memory is short', retryAfterSeconds };
    }
    case 'caller-gone':
      return undefined;
  }
};
