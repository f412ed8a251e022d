import type { JournalCommit } from './journal';
import type { CallOutcome, Executed, Usage } from './programRecord';

/** How the owner proceeds with an admitted call. */
export type CallStart =
  /** The intent is committed: dispatch the call, then call `finish`. */
  | {
      readonly kind: 'run';
      readonly callId: string;
      readonly sequence: number;
      /** Maximum that the call may spend; `tokens` caps the response. */
      readonly reservation: Usage;
      /** Identifies the program's session at engines, so that its memory can be freed later. */
      readonly sessionId: string;
      /**
       * Time after which the program's budget aborts the call; `undefined` without a wall-time
       * limit.
       */
      readonly wallTimeLeftMilliseconds: number | undefined;
      readonly durability: JournalCommit['durability'];
    }
  /** The same call has ended before: return its recorded outcome. */
  | { readonly kind: 'replay'; readonly sequence: number; readonly outcome: CallOutcome }
  /** The same call is in progress: wait for its outcome; the promise never rejects. */
  | {
      readonly kind: 'join';
      readonly sequence: number;
      readonly outcome: Promise<CallOutcome>;
    };

/** Why a call was refused; `executed` says whether this call ran. */
export interface CallRefusal {
  readonly problem:
    | 'budget-exhausted'
    | 'program-ended'
    | 'program-not-found'
    | 'parent-not-found'
    | 'sequence-conflict'
    | 'idempotency-conflict'
    | 'outcome-unknown'
    | 'journal-unavailable'
    | 'not-owner'
    | 'cancelled'
    | 'queue-full'
    | 'body-too-large'
    | 'partition-stopped';
  readonly executed: Executed;
  readonly detail: string;
}
