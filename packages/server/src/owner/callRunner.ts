import type { Tracer } from '@opentelemetry/api';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type { RunCallEvent, RunCallRequest } from '@limpetnotch/peer-protocol';
import type { CallOutcome, CallStart, JournalError } from '@limpetnotch/programs';
import type { Scheduler } from '@limpetnotch/scheduling';
import type { Problem } from '../problems/problem';
import type { ProblemId } from '../problems/problemId';
import type { TargetClient } from '../targets/targetClient';
import { assertNever } from '../util/assertNever';
import { withSpan } from '../util/withSpan';
import type { AnswerChannel } from './answerChannel';
import { AnswerRelay } from './answerRelay';
import { AttemptLoop } from './attemptLoop';
import {
  createEndEvent,
  createNotOwnerEvent,
  createProblemEvent,
  createReplayEvents,
} from './callEvents';
import { toRecordedProblem } from './callFailure';
import type { CallPlan } from './callPlan';
import type { OwnedPartition } from './ownedPartition';

const RETRY_AFTER_MILLISECONDS = 1_000;

/** Problems that clear without intervention, so that the caller may retry. */
const TRANSIENT_PROBLEMS: ReadonlySet<ProblemId> = new Set([
  'queue-full',
  'journal-unavailable',
  'partition-stopped',
]);

const getRetryAfterMilliseconds = (problem: ProblemId): number | undefined =>
  TRANSIENT_PROBLEMS.has(problem) ? RETRY_AFTER_MILLISECONDS : undefined;

/** Options of {@link CallRunner}. */
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
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

type RunStart = Extract<CallStart, { readonly kind: 'run' }>;

/**
 * Runs one call at its owner: commits the intent, attempts targets, commits the outcome, ends the
 * answer.
 */
export class CallRunner {
  readonly #options: CallRunnerOptions;

  constructor(options: CallRunnerOptions) {
    this.#options = options;
  }

  /** Runs the call and sends its events to the channel. */
  async run(): Promise<void> {
    const { partition, plan, signal, tracer } = this.#options;
    const start = await withSpan(tracer, 'store.commit-intent', async () =>
      partition.ledger.begin(plan.callRequest, signal),
    );
    if (start.isErr()) {
      await this.#sendRefusal(start.error);
      return;
    }
    switch (start.value.kind) {
      case 'run':
        await this.#runAndRecord(start.value);
        break;
      case 'replay':
        await this.#replay(start.value.outcome, start.value.sequence);
        break;
      case 'join':
        await this.#replay(await start.value.outcome, start.value.sequence);
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
      partition.ledger.recordMemoryHeld(plan.callRequest.program, loop.lastTarget);
    }
    const committed = await withSpan(tracer, 'store.commit-outcome', async () =>
      partition.ledger.finish(start.callId, outcome),
    );
    if (committed.isErr()) {
      await this.#reportLostCommit(committed.error, outcome);
      return;
    }
    await this.#sendEnd(outcome, relay, committed.value.durability);
  }

  async #sendEnd(
    outcome: CallOutcome,
    relay: AnswerRelay,
    durability: 'durable' | 'deferred',
  ): Promise<void> {
    const { channel } = this.#options;
    switch (outcome.kind) {
      case 'answered':
        await relay.flush();
        await channel.push(createEndEvent(durability));
        break;
      case 'failed':
        await this.#sendProblem(toRecordedProblem(outcome));
        break;
      default:
        assertNever(outcome);
    }
  }

  async #replay(outcome: CallOutcome, sequence: number): Promise<void> {
    const { channel, metrics } = this.#options;
    metrics.increment('call.replays');
    switch (outcome.kind) {
      case 'answered':
        for (const event of createReplayEvents(outcome.answer, sequence)) await channel.push(event);
        await channel.push(createEndEvent('durable'));
        break;
      case 'failed':
        await this.#sendProblem(toRecordedProblem(outcome));
        break;
      default:
        assertNever(outcome);
    }
  }

  async #sendRefusal(refusal: Omit<Problem, 'retryAfterMilliseconds'>): Promise<void> {
    if (refusal.problem === 'not-owner') {
      const { epoch } = this.#options.partition;
      await this.#options.channel.push(createNotOwnerEvent(epoch, refusal.executed));
      return;
    }
    await this.#sendProblem({
      ...refusal,
      retryAfterMilliseconds: getRetryAfterMilliseconds(refusal.problem),
    });
  }

  /** Sends no final answer, as the outcome is not known to be in the journal. */
  async #reportLostCommit(error: JournalError, outcome: CallOutcome): Promise<void> {
    const { channel, partition, metrics } = this.#options;
    metrics.increment('call.lost-commits', 1, { kind: error.kind });
    const executed = outcome.kind === 'answered' ? 'yes' : outcome.executed;
    if (error.kind === 'deposed') {
      await channel.push(createNotOwnerEvent(partition.epoch, executed));
      return;
    }
    await this.#sendProblem({
      problem: 'journal-unavailable',
      executed,
      detail: 'the outcome could not be recorded; ask again with the same idempotency key',
    });
  }

  async #sendProblem(problem: Problem): Promise<void> {
    this.#options.metrics.increment('call.problems', 1, { problem: problem.problem });
    await this.#options.channel.push(createProblemEvent(problem));
  }
}
