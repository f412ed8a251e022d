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

/** A call with a committed intent that runs on this instance. */
export class RunningCall {
  readonly callId: string;

  readonly request: CallRequest;

  readonly sequence: number;

  readonly reservation: Usage;

  readonly mayHaveRunBefore: boolean;

  /** Resolves with the recorded outcome, or with a failure if it is not recorded; never rejects. */
  readonly outcome: Promise<CallOutcome>;

  #acceptedOutcome: CallOutcome | undefined;

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

  /** First outcome that was reported; it takes effect only once it is committed. */
  get acceptedOutcome(): CallOutcome | undefined {
    return this.#acceptedOutcome;
  }

  /** Accepts an outcome; only the first one takes effect. */
  acceptOutcome(outcome: CallOutcome): void {
    this.#acceptedOutcome ??= outcome;
  }

  /** Returns the pending commit of the outcome, or starts one. */
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

  /** Sends the outcome to all callers that joined the call; only the first one takes effect. */
  settle(outcome: CallOutcome): void {
    this.#settle(outcome);
  }
}
