import { errAsync } from 'neverthrow';
import type { Result, ResultAsync } from 'neverthrow';
import { countBytes } from './countBytes';
import type { JournalCommit, JournalError } from './journal';
import type { LedgerCore } from './ledgerCore';
import type { CallOutcome, ProgramRecord, Usage } from './programRecord';
import type { RunningCall } from './runningCall';
import { NO_USAGE } from './util/noUsage';

const exceedsReservation = (usage: Usage, reservation: Usage): boolean =>
  usage.tokens > reservation.tokens ||
  usage.calls > reservation.calls ||
  usage.spendMicros > reservation.spendMicros;

const didNotRun = (outcome: CallOutcome): boolean =>
  outcome.kind === 'failed' && outcome.executed === 'no';

/**
 * Returns whether an outcome ends a single-call program. An idempotent call with an unknown outcome
 * leaves it open for a retry.
 */
const endsSingleCallProgram = (outcome: CallOutcome, idempotent: boolean): boolean =>
  outcome.kind === 'answered' || outcome.executed !== 'unknown' || !idempotent;

/** Records the outcomes of calls that run on this instance. */
export class CallFinisher {
  readonly #core: LedgerCore;

  constructor(core: LedgerCore) {
    this.#core = core;
  }

  /** Records an outcome and releases the turn; calling it again retries a failed commit. */
  finish(callId: string, outcome: CallOutcome): ResultAsync<JournalCommit, JournalError> {
    const { runningCalls, stopProblem } = this.#core;
    if (stopProblem?.problem === 'not-owner') return errAsync({ kind: 'deposed' });
    const call = runningCalls.find(callId);
    if (!call) {
      return errAsync({ kind: 'unavailable', detail: `call ${callId} is not in progress` });
    }
    const isFirst = call.acceptedOutcome === undefined;
    return call.finishOnce(() => this.#finish(call, outcome, isFirst));
  }

  /** Records an outcome; the call keeps its turn. */
  async record(
    call: RunningCall,
    outcome: CallOutcome,
  ): Promise<Result<JournalCommit, JournalError>> {
    const { writer, runningCalls } = this.#core;
    const { program } = call.request;
    if (!call.acceptedOutcome) this.#acceptOutcome(call, outcome);
    const recorded = await writer.flush(program);
    runningCalls.closeToJoiners(call);
    if (recorded.isErr()) this.#core.handleJournalError(recorded.error);
    call.settle(
      recorded.isOk()
        ? (call.acceptedOutcome ?? outcome)
        : CallFinisher.#createUnrecordedFailure(call),
    );
    if (recorded.isOk()) this.#removeUnusedProgram(call);
    return recorded;
  }

  async #finish(
    call: RunningCall,
    outcome: CallOutcome,
    isFirst: boolean,
  ): Promise<Result<JournalCommit, JournalError>> {
    const recorded = await this.record(call, outcome);
    if (isFirst) this.#core.turns.release(call.request.program);
    return recorded;
  }

  #acceptOutcome(call: RunningCall, reported: CallOutcome): void {
    const { writer, assertions, table, metrics } = this.#core;
    const { program } = call.request;
    const outcome = this.#replaceIfTooLarge(call, CallFinisher.#correctExecuted(call, reported));
    call.acceptOutcome(outcome);
    if (exceedsReservation(outcome.usage, call.reservation)) {
      assertions.report('usage-within-reservation', { callId: call.callId });
    }
    writer.enqueue(program, CallFinisher.#toRecords(call, outcome));
    const length = table.find(program)?.program.history.length;
    assertions.check(length === call.sequence + 1, 'one-outcome-a-sequence');
    metrics.increment('program.outcomes', 1, { kind: outcome.kind });
  }

  /**
   * Replaces an outcome that exceeds the largest append of the journal: it could never be recorded
   * and would block its program permanently.
   */
  #replaceIfTooLarge(call: RunningCall, outcome: CallOutcome): CallOutcome {
    const { maximumAppendBytes } = this.#core.settings;
    if (countBytes(CallFinisher.#toRecords(call, outcome)) <= maximumAppendBytes) return outcome;
    const executed = outcome.kind === 'failed' ? outcome.executed : 'yes';
    const problem = 'answer-too-large';
    const detail = "the answer is too large for the program's history";
    return { kind: 'failed', executed, problem, detail, usage: outcome.usage };
  }

  /** Removes a single-call program whose call did not run, so that a retry starts a new one. */
  #removeUnusedProgram(call: RunningCall): void {
    const { request, acceptedOutcome } = call;
    if (!request.singleCall || !acceptedOutcome || !didNotRun(acceptedOutcome)) return;
    if (this.#core.writer.hasUncommitted(request.program)) return;
    this.#core.table.removeTree(request.program);
  }

  static #toRecords(call: RunningCall, outcome: CallOutcome): readonly ProgramRecord[] {
    const { callId, request } = call;
    const { program, singleCall, idempotent } = request;
    const now = Date.now();
    const finished: ProgramRecord = {
      kind: 'call-finished',
      program,
      callId,
      outcome,
      finishedAtMilliseconds: now,
    };
    if (!singleCall || !endsSingleCallProgram(outcome, idempotent)) return [finished];
    const reason = 'single-call';
    return [finished, { kind: 'program-ended', program, reason, endedAtMilliseconds: now }];
  }

  /** Replaces `no` by `unknown` where an earlier attempt of the same call may have run. */
  static #correctExecuted(call: RunningCall, outcome: CallOutcome): CallOutcome {
    if (!call.mayHaveRunBefore || outcome.kind === 'answered') return outcome;
    return outcome.executed === 'no' ? { ...outcome, executed: 'unknown' } : outcome;
  }

  static #createUnrecordedFailure({ acceptedOutcome }: RunningCall): CallOutcome {
    const executed = acceptedOutcome?.kind === 'failed' ? acceptedOutcome.executed : 'yes';
    const problem = 'journal-unavailable';
    const detail = 'the outcome is not recorded yet; ask again with the same idempotency key';
    return { kind: 'failed', executed, problem, detail, usage: NO_USAGE };
  }
}
