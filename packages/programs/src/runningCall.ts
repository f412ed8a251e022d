import { ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CallRequest } from './callRequest';
import type { JournalCommit, JournalError } from './journal';
import type { CallOutcome, Usage } from './programRecord';

/** Options of a {@link RunningCall}. */
export interface RunningCallOptions {
  readonly callId: string;
  readonly request: CallRequest;
  readonly sequence: number;
  readonly reservation: Usage;
  /** Whether an earlier attempt of the call may have run. */
  readonly mayHaveRunBefore: boolean;
}

/** A call whose intent is committed and which runs here. */
export class RunningCall {
  readonly callId: string;

  readonly request: CallRequest;

  readonly sequence: number;

  readonly reservation: Usage;

  readonly mayHaveRunBefore: boolean;

  /** Resolves with the recorded outcome, or with a failure that says what is known; never rejects. */
  readonly outcome: Promise<CallOutcome>;

  #givenOutcome: CallOutcome | undefined;

  #finishing: ResultAsync<JournalCommit, JournalError> | undefined;

  #settle: (outcome: CallOutcome) => void = () => undefined;

  constructor(options: RunningCallOptions) {
    this.callId = options.callId;
    this.request = options.request;
    this.sequence = options.sequence;
    this.reservation = options.reservation;
    this.mayHaveRunBefore = options.mayHaveRunBefore;
    this.outcome = new Promise((resolve) => {
      this.#settle = resolve;
    });
  }

  /** Outcome that was given; it counts only once it is committed. */
  get givenOutcome(): CallOutcome | undefined {
    return this.#givenOutcome;
  }

  /** Keeps the outcome; the first one counts. */
  give(outcome: CallOutcome): void {
    this.#givenOutcome ??= outcome;
  }

  /** Returns the commit of the outcome that is under way, or starts one. */
  finishOnce(
    start: () => Promise<Result<JournalCommit, JournalError>>,
  ): ResultAsync<JournalCommit, JournalError> {
    this.#finishing ??= new ResultAsync(
      start().finally(() => {
        this.#finishing = undefined;
      }),
    );
    return this.#finishing;
  }

  /** Gives the outcome to all that joined the call; only the first one counts. */
  settle(outcome: CallOutcome): void {
    this.#settle(outcome);
  }
}
