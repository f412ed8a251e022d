import type { AdmissionError } from '@limpetnotch/admission';
import type { Problem } from '../problems/problem';

/** Converts an admission error to the problem reported to the caller; the call did not run. */
export const toAdmissionProblem = (error: AdmissionError): Problem => {
  const executed = 'no';
  switch (error.kind) {
    case 'key-missing':
      return { problem: error.kind, executed, detail: 'send the key as a bearer token' };
    case 'key-unknown':
      return { problem: error.kind, executed, detail: 'the key is unknown or was withdrawn' };
    case 'key-ambiguous':
      return {
        problem: error.kind,
        executed,
        detail: 'the key must come once, and not in the path or the body',
      };
    case 'route-not-found':
      return { problem: error.kind, executed, detail: 'no declared route matches the path' };
    case 'method-not-allowed':
      return { problem: error.kind, executed, detail: `allowed: ${error.allowed.join(', ')}` };
    case 'route-forbidden':
      return { problem: error.kind, executed, detail: 'the route is for other organisations' };
    case 'rate-exceeded':
      return {
        problem: error.kind,
        executed,
        detail: "the organisation's rate and burst are used up",
        retryAfterMilliseconds: error.retryAfterMilliseconds,
      };
    // no default
  }
};
