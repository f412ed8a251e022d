import type { Executed } from '@limpetnotch/programs';
import type { ProblemId } from './problemId';
import { PROBLEMS } from './problemId';

const MILLISECONDS_PER_SECOND = 1_000;

/** Why a call produced no answer, and whether it was executed. */
export interface Problem {
  readonly problem: ProblemId;
  readonly executed: Executed;
  readonly detail: string;
  readonly retryAfterMilliseconds?: number | undefined;
}

/** Problem document of RFC 9457 with the extension member `executed`. */
export interface ProblemDocument {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly executed: Executed;
}

/** Creates the document that is sent to a caller. */
export const createProblemDocument = ({ problem, detail, executed }: Problem): ProblemDocument => ({
  type: `urn:limpetnotch:problem:${problem}`,
  title: PROBLEMS[problem].title,
  status: PROBLEMS[problem].status,
  detail,
  executed,
});

/**
 * Returns the value of `Retry-After` in seconds, rounded up so that no caller retries too early.
 */
export const computeRetryAfterSeconds = ({
  retryAfterMilliseconds,
}: Problem): number | undefined =>
  retryAfterMilliseconds === undefined
    ? undefined
    : Math.max(1, Math.ceil(retryAfterMilliseconds / MILLISECONDS_PER_SECOND));
