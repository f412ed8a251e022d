import type { Call } from '../calls/call';
import type { Refusal } from '../calls/refusal';
import { RetainedTurn } from './retainedTurn';
import type { TurnKeeping } from './turnKeeping';

/** Time after which storage instances that did not respond are probably back or replaced. */
const UNSURE_RETRY_AFTER_SECONDS = 0.25;

/** Used if a route does not say how long its turns are retained. */
const DEFAULT_RETENTION_MILLISECONDS = 60_000;

/** Whether a call may continue, with the earlier turns that it builds on. */
export type RetentionDecision =
  { readonly kind: 'admitted' } | { readonly kind: 'refused'; readonly refusal: Refusal };

const refuseUnavailable = (reason: string, retryAfterSeconds: number): RetentionDecision => ({
  kind: 'refused',
  refusal: { kind: 'unavailable', reason, retryAfterSeconds },
});

/** Adds the earlier turns of a chain to calls on routes whose turns are retained. */
export class TurnRetention {
  readonly #keeping: TurnKeeping;

  constructor(keeping: TurnKeeping) {
    this.#keeping = keeping;
  }

  /** Reads the turns that a call continues; refuses it if they are not known, or can't be read. */
  async begin(call: Call): Promise<RetentionDecision> {
    if (call.route.context.kind !== 'held') return { kind: 'admitted' };
    // The output that the caller already has is not known here, so the turn must run from its start.
    if (call.isResumption) return refuseUnavailable('a retained turn can not be resumed', 0);
    if (!this.#keeping.isAvailable) {
      return refuseUnavailable('too few storage instances', UNSURE_RETRY_AFTER_SECONDS);
    }
    const { envelope, organisation, route, body } = call;
    const reference = {
      organisation: organisation?.name ?? '',
      program: envelope.program?.id ?? '',
      id: envelope.previousTurnId ?? '',
    };
    const reading =
      reference.id === ''
        ? ({ kind: 'found', turns: [] } as const)
        : await this.#keeping.readChain(reference);
    switch (reading.kind) {
      case 'absent':
        return { kind: 'refused', refusal: { kind: 'unknown-turn' } };
      case 'unsure':
        return refuseUnavailable('earlier turns can not be read', UNSURE_RETRY_AFTER_SECONDS);
      case 'found': {
        const retained = call;
        retained.retainedTurn = new RetainedTurn({
          keeping: this.#keeping,
          chain: reading.turns,
          organisation: reference.organisation,
          id: envelope.id,
          parentId: reference.id,
          program: reference.program,
          input: body,
          retentionMilliseconds: route.retentionMilliseconds ?? DEFAULT_RETENTION_MILLISECONDS,
        });
        return { kind: 'admitted' };
      }
    }
  }
}
