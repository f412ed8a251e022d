import { EXECUTED_HEADER } from '../problems/executedHeader';
import type { TargetResponse } from './targetClient';

const NOT_EXECUTED = 'no';

const TOO_MANY_REQUESTS = 429;
const SERVICE_UNAVAILABLE = 503;

/** What a refusal of a target says about the call. */
export type TargetRefusal =
  /** The target states that it has not run the call. */
  | 'not-run'
  /** The status is usual for calls that have not run, which the target doesn't state. */
  | 'unproven';

/** Returns how a target refuses a call; undefined if its response is an answer. */
export const classifyRefusal = (
  { status, headers }: Pick<TargetResponse, 'status' | 'headers'>,
  isModelEngine: boolean,
): TargetRefusal | undefined => {
  if (headers[EXECUTED_HEADER] === NOT_EXECUTED) return 'not-run';
  const isRefusal = status === TOO_MANY_REQUESTS || status === SERVICE_UNAVAILABLE;
  return isModelEngine && isRefusal ? 'unproven' : undefined;
};
