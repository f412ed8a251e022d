import type { Call } from './call';
import type { Refusal } from './refusal';

/**
 * Statuses that tell a caller that its request has not run and never will, so that it may send the
 * request again.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Tells the caller of a turn that its program's budget is spent, and that the turn has not run. */
const BUDGET_SPENT_STATUS = 402;

/** A response that a call could end with. */
export type ProposedAnswer =
  /** The response of a target that doesn't state that it has not run the request. */
  | { readonly kind: 'target-response'; readonly status: number }
  /** A refusal by the gateway. */
  | { readonly kind: 'refusal'; readonly refusal: Refusal };

/** Whether a caller takes a status for the statement that its request has not run. */
const deniesRun = (call: Call, status: number): boolean =>
  (call.runsAtMostOnce && NOT_RUN_STATUSES.has(status)) ||
  (status === BUDGET_SPENT_STATUS && call.turnBudget !== undefined);

const explainTargetResponse = (call: Call, status: number): string | undefined =>
  deniesRun(call, status)
    ? `status ${status} without a statement of the target that the request has not run`
    : undefined;

const explainRefusal = ({ history }: Call, refusal: Refusal): string | undefined => {
  switch (refusal.kind) {
    case 'outcome-unknown':
    case 'timed-out':
      return undefined;
    case 'body-too-large':
    case 'budget-spent':
    case 'malformed':
    case 'over-rate':
    case 'quarantined':
    case 'too-slow':
    case 'unavailable':
    case 'unknown-key':
    case 'unknown-route':
    case 'unknown-turn':
      return history.runs > 0 ? `${refusal.kind} after a dispatch that may have run` : undefined;
  }
};

/**
 * Returns why a caller must not receive a response: it would state that the request has not run,
 * and that is not known. Returns undefined if the response may be sent.
 */
export const explainWithheld = (call: Call, answer: ProposedAnswer): string | undefined => {
  switch (answer.kind) {
    case 'target-response':
      return explainTargetResponse(call, answer.status);
    case 'refusal':
      return explainRefusal(call, answer.refusal);
  }
};
