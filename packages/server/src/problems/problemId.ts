/** Problems that callers may receive, by identifier, which is the last part of the type URI. */
export const PROBLEMS = {
  'malformed-request': { status: 400, title: 'The request is malformed' },
  'key-ambiguous': { status: 400, title: 'The key stands where it may not' },
  'key-missing': { status: 401, title: 'A key is required' },
  'key-unknown': { status: 401, title: 'The key is not valid' },
  'key-withdrawn': { status: 401, title: 'The key was withdrawn' },
  'budget-exhausted': { status: 402, title: "The program's budget does not allow the call" },
  'route-forbidden': { status: 403, title: 'The organisation may not use this route' },
  'operator-only': { status: 403, title: 'Only operators may do this' },
  'route-not-found': { status: 404, title: 'No route matches' },
  'model-not-found': { status: 404, title: 'The route does not serve this model' },
  'program-not-found': { status: 404, title: 'There is no such program' },
  'parent-not-found': { status: 404, title: 'There is no such parent program' },
  'method-not-allowed': { status: 405, title: 'The route does not take this method' },
  'program-ended': { status: 409, title: 'The program has ended' },
  'sequence-conflict': { status: 409, title: 'The program is at another sequence' },
  'idempotency-conflict': {
    status: 422,
    title: 'The idempotency key was used with another request',
  },
  'body-too-large': { status: 413, title: 'The body is too large' },
  quarantined: { status: 422, title: 'The request crashed several targets and is quarantined' },
  'rate-exceeded': { status: 429, title: 'The rate is used up' },
  'queue-full': { status: 429, title: 'Too many calls are waiting' },
  cancelled: { status: 499, title: 'The caller went away' },
  'internal-error': { status: 500, title: 'The instance failed' },
  'target-broken': { status: 502, title: 'The target broke off the answer' },
  'outcome-unknown': { status: 502, title: 'It is not known whether the call ran' },
  'answer-too-large': { status: 502, title: 'The answer is too large to be recorded' },
  'target-unreachable': { status: 502, title: 'No target could be reached' },
  'not-ready': { status: 503, title: 'The instance is not serving' },
  'owner-unreachable': { status: 503, title: "The program's owner cannot be reached" },
  'journal-unavailable': { status: 503, title: 'The call cannot be recorded now' },
  'partition-stopped': { status: 503, title: "The program's partition has stopped" },
  'not-owner': { status: 503, title: 'The partition is moving' },
  'no-target': { status: 503, title: 'No target can take the call' },
  'retry-budget-spent': { status: 503, title: 'The call failed and may not be sent again now' },
  'deadline-exceeded': { status: 504, title: 'The call took too long' },
} as const satisfies Record<string, { readonly status: number; readonly title: string }>;

/** Identifier of a problem. */
export type ProblemId = keyof typeof PROBLEMS;

/** Whether a text is the identifier of a known problem. */
export const isProblemId = (text: string): text is ProblemId => Object.hasOwn(PROBLEMS, text);
