import type { Tracer } from '@opentelemetry/api';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type { RunCallEvent, RunCallRequest } from '@limpetnotch/peer-protocol';
import type { CallOutcome, CallStart, JournalError } from '@limpetnotch/programs';
import type { Scheduler } from '@limpetnotch/scheduling';
import type { Problem } from '../problems/problem';
import type { ProblemId } from '../problems/problemId';
import type { TargetClient } from '../targets/targetClient';
import { assertNever } from '../util/assertNever';
import { inSpan } from '../util/inSpan';
import type { AnswerChannel } from './answerChannel';
import { AnswerRelay } from './answerRelay';
import { AttemptLoop } from './attemptLoop';
import { endEvent, notOwnerEvent, problemEvent, replayEvents } from './callEvents';
import { recordedProblem } from './callFailure';
import type { CallPlan } from './callPlan';
import type { OwnedPartition } from './ownedPartition';

const RETRY_AFTER_MILLISECONDS = 1_000;

/** Problems that pass by themselves. */
const PASSING_PROBLEMS: ReadonlySet<ProblemId> = new Set([
  'queue-full',
  'journal-unavailable',
  'partition-stopped',
]);

const retryAfterOf = (problem: ProblemId): number | undefined =>
  PASSING_PROBLEMS.has(problem) ? RETRY_AFTER_MILLISECONDS : undefined;

/** What running a call needs. */
export interface CallRunnerOptions {
  readonly request: RunCallRequest;
  readonly plan: CallPlan;
  readonly partition: OwnedPartition;
  readonly scheduler: Scheduler;
  readonly targets: TargetClient;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly tracer: Tracer;
  readonly channel: AnswerChannel<RunCallEvent>;
  /** Aborts when the caller went away. */
  readonly signal: AbortSignal;
}

type RunStart = Extract<CallStart, { readonly kind: 'run' }>;

/** Runs one call at its owner: intent, attempts at targets, outcome, end of the answer. */
export class CallRunner {
  readonly #options: CallRunnerOptions;

  constructor(options: CallRunnerOptions) {
    this.#options = options;
  }

  /** Runs the call and sends its events to the channel. */
  async run(): Promise<void> {
    const { partition, plan, signal, tracer } = this.#options;
    const start = await inSpan(tracer, 'store.commit-intent', async () =>
      partition.ledger.begin(plan.callRequest, signal),
    );
    if (start.isErr()) {
      await this.#refuse(start.error);
      return;
    }
    switch (start.value.kind) {
      case 'run':
        await this.#runAndRecord(start.value);
        break;
      case 'replay':
        await this.#repeat(start.value.outcome, start.value.sequence);
        break;
      case 'join':
        await this.#repeat(await start.value.outcome, start.value.sequence);
        break;
      default:
        assertNever(start.value);
    }
  }

  async #runAndRecord(start: RunStart): Promise<void> {
    const { partition, plan, channel, tracer } = this.#options;
    const relay = new AnswerRelay(channel);
    const loop = new AttemptLoop({ ...this.#options, start, relay });
    const outcome = await loop.run();
    if (plan.chat && loop.lastTarget !== undefined) {
      partition.ledger.memoryHeld(plan.callRequest.program, loop.lastTarget);
    }
    const committed = await inSpan(tracer, 'store.commit-outcome', async () =>
      partition.ledger.finish(start.callId, outcome),
    );
    if (committed.isErr()) {
      await this.#reportLostCommit(committed.error, outcome);
      return;
    }
    await this.#end(outcome, relay, committed.value.durability);
  }

  async #end(
    outcome: CallOutcome,
    relay: AnswerRelay,
    durability: 'durable' | 'deferred',
  ): Promise<void> {
    const { channel } = this.#options;
    switch (outcome.kind) {
      case 'answered':
        await relay.release();
        await channel.push(endEvent(durability));
        break;
      case 'failed':
        await this.#problem(recordedProblem(outcome));
        break;
      default:
        assertNever(outcome);
    }
  }

  async #repeat(outcome: CallOutcome, sequence: number): Promise<void> {
    const { channel, metrics } = this.#options;
    metrics.increment('call.replays');
    switch (outcome.kind) {
      case 'answered':
        for (const event of replayEvents(outcome.answer, sequence)) await channel.push(event);
        await channel.push(endEvent('durable'));
        break;
      case 'failed':
        await this.#problem(recordedProblem(outcome));
        break;
      default:
        assertNever(outcome);
    }
  }

  async #refuse(refusal: Omit<Problem, 'retryAfterMilliseconds'>): Promise<void> {
    if (refusal.problem === 'not-owner') {
      await this.#options.channel.push(notOwnerEvent(this.#options.partition.epoch));
      return;
    }
    await this.#problem({ ...refusal, retryAfterMilliseconds: retryAfterOf(refusal.problem) });
  }

  /** The outcome is not in the journal as far as this owner knows: it sends no final answer. */
  async #reportLostCommit(error: JournalError, outcome: CallOutcome): Promise<void> {
    const { channel, partition, metrics } = this.#options;
    metrics.increment('call.lost-commits', 1, { kind: error.kind });
    if (error.kind === 'deposed') {
      await channel.push(notOwnerEvent(partition.epoch));
      return;
    }
    const executed = outcome.kind === 'answered' ? 'yes' : outcome.executed;
    await this.#problem({
      problem: 'journal-unavailable',
      executed,
      detail: 'the outcome could not be recorded; ask again with the same idempotency key',
    });
  }

  async #problem(problem: Problem): Promise<void> {
    this.#options.metrics.increment('call.problems', 1, { problem: problem.problem });
    await this.#options.channel.push(problemEvent(problem));
  }
}
