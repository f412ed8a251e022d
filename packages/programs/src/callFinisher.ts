import { errAsync } from 'neverthrow';
import type { Result, ResultAsync } from 'neverthrow';
import type { JournalCommit, JournalError } from './journal';
import type { LedgerCore } from './ledgerCore';
import type { CallOutcome, ProgramRecord, Usage } from './programRecord';
import { recordBytes } from './recordBytes';
import type { RunningCall } from './runningCall';
import { NO_USAGE } from './util/noUsage';

const exceeds = (usage: Usage, reservation: Usage): boolean =>
  usage.tokens > reservation.tokens ||
  usage.calls > reservation.calls ||
  usage.spendMicros > reservation.spendMicros;

const didNotRun = (outcome: CallOutcome): boolean =>
  outcome.kind === 'failed' && outcome.executed === 'no';

/** Whether a program of one call ends with an outcome; one that may be repeated can be retried. */
const endsSingleCall = (outcome: CallOutcome, idempotent: boolean): boolean =>
  outcome.kind === 'answered' || outcome.executed !== 'unknown' || !idempotent;

/** Records the outcomes of calls that run here. */
export class CallFinisher {
  readonly #core: LedgerCore;

  constructor(core: LedgerCore) {
    this.#core = core;
  }

  /** Records an outcome and passes the turn on; called again, it repeats a commit that failed. */
  finish(callId: string, outcome: CallOutcome): ResultAsync<JournalCommit, JournalError> {
    const { running, stopped } = this.#core;
    if (stopped?.problem === 'not-owner') return errAsync({ kind: 'deposed' });
    const call = running.find(callId);
    if (!call) {
      return errAsync({ kind: 'unavailable', detail: `call ${callId} is not under way` });
    }
    const isFirst = call.givenOutcome === undefined;
    return call.finishOnce(() => this.#finish(call, outcome, isFirst));
  }

  /** Records an outcome; the turn stays with the call. */
  async record(
    call: RunningCall,
    outcome: CallOutcome,
  ): Promise<Result<JournalCommit, JournalError>> {
    const { writer, running } = this.#core;
    const { program } = call.request;
    if (!call.givenOutcome) this.#give(call, outcome);
    const recorded = await writer.flush(program);
    running.closeToJoiners(call);
    if (recorded.isErr()) this.#core.problemOf(recorded.error);
    call.settle(recorded.isOk() ? (call.givenOutcome ?? outcome) : CallFinisher.#unrecorded(call));
    if (recorded.isOk()) this.#dropUnused(call);
    return recorded;
  }

  async #finish(
    call: RunningCall,
    outcome: CallOutcome,
    isFirst: boolean,
  ): Promise<Result<JournalCommit, JournalError>> {
    const recorded = await this.record(call, outcome);
    if (isFirst) this.#core.turns.leave(call.request.program);
    return recorded;
  }

  #give(call: RunningCall, reported: CallOutcome): void {
    const { writer, assertions, table, metrics } = this.#core;
    const { program } = call.request;
    const outcome = this.#fitting(call, CallFinisher.#truthful(call, reported));
    call.give(outcome);
    if (exceeds(outcome.usage, call.reservation)) {
      assertions.report('usage-within-reservation', { callId: call.callId });
    }
    writer.keep(program, CallFinisher.#recordsOf(call, outcome));
    const length = table.find(program)?.program.history.length;
    assertions.check(length === call.sequence + 1, 'one-outcome-a-sequence');
    metrics.increment('program.outcomes', 1, { kind: outcome.kind });
  }

  /** Replaces an answer that the journal does not take, which would block its program for good. */
  #fitting(call: RunningCall, outcome: CallOutcome): CallOutcome {
    const { maximumAppendBytes } = this.#core.settings;
    if (recordBytes(CallFinisher.#recordsOf(call, outcome)) <= maximumAppendBytes) return outcome;
    const executed = outcome.kind === 'failed' ? outcome.executed : 'yes';
    const problem = 'answer-too-large';
    const detail = "the answer is too large for the program's history";
    return { kind: 'failed', executed, problem, detail, usage: outcome.usage };
  }

  /** Forgets a program of one call that did not run: a retry starts it anew. */
  #dropUnused(call: RunningCall): void {
    const { request, givenOutcome } = call;
    if (!request.singleCall || !givenOutcome || !didNotRun(givenOutcome)) return;
    if (this.#core.writer.hasUncommitted(request.program)) return;
    this.#core.table.dropTree(request.program);
  }

  static #recordsOf(call: RunningCall, outcome: CallOutcome): readonly ProgramRecord[] {
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
    if (!singleCall || !endsSingleCall(outcome, idempotent)) return [finished];
    const reason = 'single-call';
    return [finished, { kind: 'program-ended', program, reason, endedAtMilliseconds: now }];
  }

  /** Corrects "not run" where an earlier attempt of the same call may have run. */
  static #truthful(call: RunningCall, outcome: CallOutcome): CallOutcome {
    if (!call.mayHaveRunBefore || outcome.kind === 'answered') return outcome;
    return outcome.executed === 'no' ? { ...outcome, executed: 'unknown' } : outcome;
  }

  static #unrecorded({ givenOutcome }: RunningCall): CallOutcome {
    const executed = givenOutcome?.kind === 'failed' ? givenOutcome.executed : 'yes';
    const problem = 'journal-unavailable';
    const detail = 'the outcome is not recorded yet; ask again with the same idempotency key';
    return { kind: 'failed', executed, problem, detail, usage: NO_USAGE };
  }
}
