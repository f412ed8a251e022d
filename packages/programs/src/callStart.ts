import type { JournalCommit } from './journal';
import type { CallOutcome, Executed, Usage } from './programRecord';

/** What the owner does with a call that was let in. */
export type CallStart =
  /** The intent is committed: dispatch it, then call `finish`. */
  | {
      readonly kind: 'run';
      readonly callId: string;
      readonly sequence: number;
      /** What the call may spend at the most; `tokens` caps the answer. */
      readonly reservation: Usage;
      /** Names the program's session at engines, by which their memory is freed later. */
      readonly sessionId: string;
      /** Time after which the program's budget cuts the call off, if it limits wall time. */
      readonly wallTimeLeftMilliseconds: number | undefined;
      readonly durability: JournalCommit['durability'];
    }
  /** The same call has ended before: give its recorded outcome. */
  | { readonly kind: 'replay'; readonly sequence: number; readonly outcome: CallOutcome }
  /** The same call is under way: wait for its outcome; the promise never rejects. */
  | {
      readonly kind: 'join';
      readonly sequence: number;
      readonly outcome: Promise<CallOutcome>;
    };

/** Why a call was refused; `executed` is the truth about this call. */
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
