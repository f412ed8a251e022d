import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CallFinisher } from './callFinisher';
import type { CallRequest } from './callRequest';
import type { CallRefusal, CallStart } from './callStart';
import { countBytes } from './countBytes';
import { createLostOutcome } from './createLostOutcome';
import { createStartRecords } from './createStartRecords';
import type { JournalCommit } from './journal';
import type { LedgerCore, RefusalProblem } from './ledgerCore';
import type { HistoryEntry } from './ledgerSnapshot';
import { planCall } from './planCall';
import type { CallPlan } from './planCall';
import { RunningCall } from './runningCall';
import { sharedBody } from './sharedBody';
import { NO_USAGE } from './util/noUsage';
import { programPath } from './util/programPath';

type StartResult = Result<CallStart, RefusalProblem>;

const BODY_TOO_LARGE: RefusalProblem = {
  problem: 'body-too-large',
  detail: "the request is too large for the program's history",
};

const CANCELLED: RefusalProblem = { problem: 'cancelled', detail: 'the caller cancelled the call' };

const NOT_DURABLE: RefusalProblem = {
  problem: 'journal-unavailable',
  detail: 'the store is out, and a call that may not be repeated needs its intent kept there',
};

/** Admits calls in order, within their budget, and once per idempotency key. */
export class CallStarter {
  readonly #core: LedgerCore;

  readonly #finisher: CallFinisher;

  #startedCallCount = 0;

  constructor(core: LedgerCore, finisher: CallFinisher) {
    this.#core = core;
    this.#finisher = finisher;
  }

  async begin(request: CallRequest, signal: AbortSignal): Promise<Result<CallStart, CallRefusal>> {
    const start = await this.#begin(request, signal);
    const { metrics } = this.#core;
    return start
      .andTee(({ kind }) => {
        metrics.increment('program.calls', 1, { kind });
      })
      .mapErr(({ problem, detail }) => {
        metrics.increment('program.refusals', 1, { problem });
        return { problem, detail, executed: this.#getExecuted(request, problem) };
      });
  }

  async #begin(request: CallRequest, signal: AbortSignal): Promise<StartResult> {
    const { turns } = this.#core;
    const earlyResult = this.#resolveWithoutTurn(request);
    if (earlyResult) return earlyResult;
    const acquired = await turns.acquire(request.program, signal);
    if (acquired.isErr()) return err(acquired.error);
    const start = await this.#beginInTurn(request, signal);
    if (start.isErr() || start.value.kind !== 'run') turns.release(request.program);
    return start;
  }

  async #beginInTurn(request: CallRequest, signal: AbortSignal): Promise<StartResult> {
    const { table } = this.#core;
    if (signal.aborted) return err(CANCELLED);
    while (this.#findBlockingAppend(request)) await this.#findBlockingAppend(request);
    if (this.#findSettledCall(request)) return this.#replayWhenCommitted(request);
    const { closeProblem } = this.#core;
    if (closeProblem) return err(closeProblem);
    const conflict = this.#findConflict(request);
    if (conflict) return err(conflict);
    const plan = planCall(request, table, Date.now());
    if (plan.isErr()) return err(plan.error);
    const { lostAttempt } = plan.value;
    if (lostAttempt && !lostAttempt.idempotent) return this.#refuseLostAttempt(request, plan.value);
    return this.#commitIntent(request, plan.value, signal);
  }

  /**
   * Returns the pending append, of the program or of its parent's start, that a call must wait for.
   */
  #findBlockingAppend({ program }: CallRequest): Promise<unknown> | undefined {
    const { writer, table } = this.#core;
    const parentPath = programPath.parent(program.path);
    if (parentPath === undefined || table.find(program)) return writer.getPendingAppend(program);
    const parent = table.find({ ...program, path: parentPath })?.program;
    return parent?.history.length === 0 ? writer.getPendingAppend(parent.program) : undefined;
  }

  /** Resolves a request that needs no turn: a repeated call, or one to a closed ledger. */
  #resolveWithoutTurn(request: CallRequest): StartResult | undefined {
    const { runningCalls, writer, stopProblem, closeProblem } = this.#core;
    const { program, idempotencyKey } = request;
    const problem = stopProblem ?? this.#findConflict(request);
    if (problem) return err(problem);
    const call = runningCalls.findOfProgram(program);
    if (call?.request.idempotencyKey === idempotencyKey) {
      return ok({ kind: 'join', sequence: call.sequence, outcome: call.outcome });
    }
    const settledCall = this.#findSettledCall(request);
    if (settledCall && !writer.hasUncommitted(program)) return CallStarter.#toReplay(settledCall);
    return closeProblem && err(closeProblem);
  }

  /** Replays a recorded outcome once all queued records of the program are committed. */
  async #replayWhenCommitted(request: CallRequest): Promise<StartResult> {
    const conflict = this.#findConflict(request);
    if (conflict) return err(conflict);
    const flushResult = await this.#core.writer.flush(request.program);
    if (flushResult.isErr()) return err(this.#core.handleJournalError(flushResult.error));
    const settledCall = this.#findSettledCall(request);
    return settledCall
      ? CallStarter.#toReplay(settledCall)
      : err(this.#core.stopProblem ?? CANCELLED);
  }

  #findConflict({
    program,
    idempotencyKey,
    requestDigest,
  }: CallRequest): RefusalProblem | undefined {
    const digest = this.#core.table.find(program)?.program.getRequestDigest(idempotencyKey);
    if (digest === undefined || digest === requestDigest) return undefined;
    const detail = 'the idempotency key was used for a different request';
    return { problem: 'idempotency-conflict', detail };
  }

  /**
   * Records an unknown outcome for a non-idempotent call that may have run under an earlier owner.
   */
  async #refuseLostAttempt(request: CallRequest, { lostAttempt }: CallPlan): Promise<StartResult> {
    const { writer } = this.#core;
    const { program } = request;
    if (lostAttempt) writer.enqueue(program, [createLostOutcome(program, lostAttempt, Date.now())]);
    const flushResult = await writer.flush(program);
    if (flushResult.isErr()) return err(this.#core.handleJournalError(flushResult.error));
    const detail = 'an earlier attempt may have run, and the call may not be repeated';
    return err({ problem: 'outcome-unknown', detail });
  }

  async #commitIntent(
    request: CallRequest,
    plan: CallPlan,
    signal: AbortSignal,
  ): Promise<StartResult> {
    const { writer, table } = this.#core;
    const { program } = request;
    const { abandonedAttempt, lostAttempt, reservation, sequence } = plan;
    if (abandonedAttempt) {
      writer.enqueue(program, [createLostOutcome(program, abandonedAttempt, Date.now())]);
    }
    const callId = this.#nextCallId();
    const history = table.find(program)?.program.history ?? [];
    const body = sharedBody.encode(history, request.requestBodyBase64);
    const records = createStartRecords({ ...request, ...body }, plan, callId);
    if (countBytes(records) > this.#core.settings.maximumAppendBytes) return err(BODY_TOO_LARGE);
    this.#assertStart(request, plan);
    const commit = await writer.append(program, records, () => {
      table.withdrawIntent(program, lostAttempt?.callId);
      if (plan.startLimits) table.withdrawStart(program);
    });
    if (commit.isErr()) return err(this.#core.handleJournalError(commit.error));
    const mayHaveRunBefore = lostAttempt !== undefined;
    const call = new RunningCall({ callId, request, sequence, reservation, mayHaveRunBefore });
    return this.#startCommittedCall(call, commit.value, signal);
  }

  /**
   * Starts a committed call, unless it was cancelled, its program ended or the ledger stopped
   * since.
   */
  async #startCommittedCall(
    call: RunningCall,
    { durability }: JournalCommit,
    signal: AbortSignal,
  ): Promise<StartResult> {
    const { runningCalls, stopProblem, table } = this.#core;
    const { callId, request, reservation, sequence } = call;
    const found = table.find(request.program);
    if (stopProblem ?? !found) return err(stopProblem ?? CANCELLED);
    runningCalls.add(call);
    const refusal = CallStarter.#findRefusal(request, durability, signal, found.program.end);
    if (refusal) {
      const outcome = { ...refusal, kind: 'failed', executed: 'no', usage: NO_USAGE } as const;
      await this.#finisher.record(call, outcome);
      return err(refusal);
    }
    const { sessionId } = found.program;
    const wallTimeLeftMilliseconds = found.tree.budget.getRemainingWallTimeMilliseconds(Date.now());
    const kind = 'run';
    return ok({
      kind,
      callId,
      sequence,
      reservation,
      sessionId,
      wallTimeLeftMilliseconds,
      durability,
    });
  }

  #assertStart({ program }: CallRequest, { lostAttempt, reservation, sequence }: CallPlan): void {
    const { assertions, runningCalls, table } = this.#core;
    const found = table.find(program);
    const isFree = !runningCalls.findOfProgram(program) && found?.program.current === lostAttempt;
    assertions.check(isFree, 'one-call-a-program', { sequence });
    assertions.check(found?.tree.budget.covers(reservation) ?? true, 'budget-covers-reservation');
  }

  #findSettledCall({ program, idempotencyKey }: CallRequest): HistoryEntry | undefined {
    return this.#core.table.find(program)?.program.findSettledCall(idempotencyKey);
  }

  /**
   * Returns whether the request ran, as far as this instance can tell. A conflicting request did
   * not run itself, regardless of the outcome of the earlier one. After a change of owner the next
   * owner may have run the request, which makes it `unknown`.
   */
  #getExecuted(request: CallRequest, problem: CallRefusal['problem']): CallRefusal['executed'] {
    if (problem === 'idempotency-conflict') return 'no';
    const { program, idempotencyKey, requestDigest } = request;
    const { stopProblem, table } = this.#core;
    const executed =
      table.find(program)?.program.getExecuted(idempotencyKey, requestDigest) ?? 'no';
    return executed === 'no' && stopProblem?.problem === 'not-owner' ? 'unknown' : executed;
  }

  #nextCallId(): string {
    const { partition, epoch } = this.#core.journal;
    this.#startedCallCount += 1;
    return [partition, epoch, this.#startedCallCount].join('.');
  }

  static #toReplay({ sequence, outcome }: HistoryEntry): StartResult {
    return ok({ kind: 'replay', sequence, outcome });
  }

  static #findRefusal(
    { idempotent }: CallRequest,
    durability: JournalCommit['durability'],
    signal: AbortSignal,
    end: unknown,
  ): RefusalProblem | undefined {
    if (end !== undefined) return { problem: 'program-ended', detail: 'the program ended' };
    if (signal.aborted) return CANCELLED;
    return durability === 'deferred' && !idempotent ? NOT_DURABLE : undefined;
  }
}
