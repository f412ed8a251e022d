import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CallFinisher } from './callFinisher';
import type { CallRequest } from './callRequest';
import type { CallRefusal, CallStart } from './callStart';
import { closeAttempt } from './closeAttempt';
import type { JournalCommit } from './journal';
import type { LedgerCore, Problem } from './ledgerCore';
import type { HistoryEntry } from './ledgerSnapshot';
import { planCall } from './planCall';
import type { CallPlan } from './planCall';
import { recordBytes } from './recordBytes';
import { RunningCall } from './runningCall';
import { sharedBody } from './sharedBody';
import { startRecords } from './startRecords';
import { NO_USAGE } from './util/noUsage';
import { programPath } from './util/programPath';

type Start = Result<CallStart, Problem>;

const BODY_TOO_LARGE: Problem = {
  problem: 'body-too-large',
  detail: "the request is too large for the program's history",
};

const CANCELLED: Problem = { problem: 'cancelled', detail: 'the caller cancelled the call' };

const NOT_DURABLE: Problem = {
  problem: 'journal-unavailable',
  detail: 'the store is out, and a call that may not be repeated needs its intent kept there',
};

/** Lets calls in: in order, within their budget, and once for each idempotency key. */
export class CallStarter {
  readonly #core: LedgerCore;

  readonly #finisher: CallFinisher;

  #startedCalls = 0;

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
        return { problem, detail, executed: this.#executed(request, problem) };
      });
  }

  async #begin(request: CallRequest, signal: AbortSignal): Promise<Start> {
    const { turns } = this.#core;
    const early = this.#answerKnown(request);
    if (early) return early;
    const entered = await turns.enter(request.program, signal);
    if (entered.isErr()) return err(entered.error);
    const start = await this.#beginInTurn(request, signal);
    if (start.isErr() || start.value.kind !== 'run') turns.leave(request.program);
    return start;
  }

  async #beginInTurn(request: CallRequest, signal: AbortSignal): Promise<Start> {
    const { table } = this.#core;
    if (signal.aborted) return err(CANCELLED);
    while (this.#appendToAwait(request)) await this.#appendToAwait(request);
    if (this.#settled(request)) return this.#replayWhenCommitted(request);
    const { closed } = this.#core;
    if (closed) return err(closed);
    const conflict = this.#conflict(request);
    if (conflict) return err(conflict);
    const plan = planCall(request, table, Date.now());
    if (plan.isErr()) return err(plan.error);
    const { lostAttempt } = plan.value;
    if (lostAttempt && !lostAttempt.idempotent) return this.#refuseUnknown(request, plan.value);
    return this.#run(request, plan.value, signal);
  }

  /** Returns the append of the program, or of its parent's start, that must end before a call starts. */
  #appendToAwait({ program }: CallRequest): Promise<unknown> | undefined {
    const { writer, table } = this.#core;
    const parentPath = programPath.parent(program.path);
    if (parentPath === undefined || table.find(program)) return writer.underWay(program);
    const parent = table.find({ ...program, path: parentPath })?.program;
    return parent?.history.length === 0 ? writer.underWay(parent.program) : undefined;
  }

  /** Answers what needs no turn: the same call again, or a ledger that is closed. */
  #answerKnown(request: CallRequest): Start | undefined {
    const { running, writer, stopped, closed } = this.#core;
    const { program, idempotencyKey } = request;
    const problem = stopped ?? this.#conflict(request);
    if (problem) return err(problem);
    const call = running.findOfProgram(program);
    if (call?.request.idempotencyKey === idempotencyKey) {
      return ok({ kind: 'join', sequence: call.sequence, outcome: call.outcome });
    }
    const settled = this.#settled(request);
    if (settled && !writer.hasUncommitted(program)) return CallStarter.#replay(settled);
    return closed && err(closed);
  }

  /** Gives a recorded outcome once all facts of the program are committed. */
  async #replayWhenCommitted(request: CallRequest): Promise<Start> {
    const conflict = this.#conflict(request);
    if (conflict) return err(conflict);
    const flushed = await this.#core.writer.flush(request.program);
    if (flushed.isErr()) return err(this.#core.problemOf(flushed.error));
    const settled = this.#settled(request);
    return settled ? CallStarter.#replay(settled) : err(this.#core.stopped ?? CANCELLED);
  }

  #conflict({ program, idempotencyKey, requestDigest }: CallRequest): Problem | undefined {
    const digest = this.#core.table.find(program)?.program.digestOf(idempotencyKey);
    if (digest === undefined || digest === requestDigest) return undefined;
    const detail = 'the idempotency key came with another request before';
    return { problem: 'idempotency-conflict', detail };
  }

  /** Closes a call that may have run under an earlier owner and may not be repeated. */
  async #refuseUnknown(request: CallRequest, { lostAttempt }: CallPlan): Promise<Start> {
    const { writer } = this.#core;
    const { program } = request;
    if (lostAttempt) writer.keep(program, [closeAttempt(program, lostAttempt, Date.now())]);
    const flushed = await writer.flush(program);
    if (flushed.isErr()) return err(this.#core.problemOf(flushed.error));
    const detail = 'an earlier attempt may have run, and the call may not be repeated';
    return err({ problem: 'outcome-unknown', detail });
  }

  async #run(request: CallRequest, plan: CallPlan, signal: AbortSignal): Promise<Start> {
    const { writer, table } = this.#core;
    const { program } = request;
    const { abandonedAttempt, lostAttempt, reservation, sequence } = plan;
    if (abandonedAttempt) {
      writer.keep(program, [closeAttempt(program, abandonedAttempt, Date.now())]);
    }
    const callId = this.#nextCallId();
    const history = table.find(program)?.program.history ?? [];
    const body = sharedBody.store(history, request.requestBodyBase64);
    const records = startRecords({ ...request, ...body }, plan, callId);
    if (recordBytes(records) > this.#core.settings.maximumAppendBytes) return err(BODY_TOO_LARGE);
    this.#assertStart(request, plan);
    const commit = await writer.append(program, records, () => {
      table.withdrawIntent(program, lostAttempt?.callId);
      if (plan.startLimits) table.withdrawStart(program);
    });
    if (commit.isErr()) return err(this.#core.problemOf(commit.error));
    const mayHaveRunBefore = lostAttempt !== undefined;
    const call = new RunningCall({ callId, request, sequence, reservation, mayHaveRunBefore });
    return this.#dispatchable(call, commit.value, signal);
  }

  /** Lets a committed call run, unless something came up in the meantime. */
  async #dispatchable(
    call: RunningCall,
    { durability }: JournalCommit,
    signal: AbortSignal,
  ): Promise<Start> {
    const { running, stopped, table } = this.#core;
    const { callId, request, reservation, sequence } = call;
    const found = table.find(request.program);
    if (stopped ?? !found) return err(stopped ?? CANCELLED);
    running.add(call);
    const hindrance = CallStarter.#hindrance(request, durability, signal, found.program.end);
    if (hindrance) {
      const outcome = { ...hindrance, kind: 'failed', executed: 'no', usage: NO_USAGE } as const;
      await this.#finisher.record(call, outcome);
      return err(hindrance);
    }
    const { sessionId } = found.program;
    const wallTimeLeftMilliseconds = found.tree.budget.wallTimeLeft(Date.now());
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
    const { assertions, running, table } = this.#core;
    const found = table.find(program);
    const isFree = !running.findOfProgram(program) && found?.program.current === lostAttempt;
    assertions.check(isFree, 'one-call-a-program', { sequence });
    assertions.check(found?.tree.budget.covers(reservation) ?? true, 'budget-covers-reservation');
  }

  #settled({ program, idempotencyKey }: CallRequest): HistoryEntry | undefined {
    return this.#core.table.find(program)?.program.settledCall(idempotencyKey);
  }

  /**
   * Returns whether the request ran, as far as is known here. A conflicting request did not run
   * itself, whatever became of the one before it; what the next owner ran is not known here.
   */
  #executed(request: CallRequest, problem: CallRefusal['problem']): CallRefusal['executed'] {
    if (problem === 'idempotency-conflict') return 'no';
    const { program, idempotencyKey, requestDigest } = request;
    const { stopped, table } = this.#core;
    const executed = table.find(program)?.program.executed(idempotencyKey, requestDigest) ?? 'no';
    return executed === 'no' && stopped?.problem === 'not-owner' ? 'unknown' : executed;
  }

  #nextCallId(): string {
    const { partition, epoch } = this.#core.journal;
    this.#startedCalls += 1;
    return [partition, epoch, this.#startedCalls].join('.');
  }

  static #replay({ sequence, outcome }: HistoryEntry): Start {
    return ok({ kind: 'replay', sequence, outcome });
  }

  static #hindrance(
    { idempotent }: CallRequest,
    durability: JournalCommit['durability'],
    signal: AbortSignal,
    end: unknown,
  ): Problem | undefined {
    if (end !== undefined) return { problem: 'program-ended', detail: 'the program ended' };
    if (signal.aborted) return CANCELLED;
    return durability === 'deferred' && !idempotent ? NOT_DURABLE : undefined;
  }
}
