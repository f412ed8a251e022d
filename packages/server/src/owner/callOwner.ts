import type { Tracer } from '@opentelemetry/api';
import { context } from '@opentelemetry/api';
import type { Configuration } from '@limpetnotch/declarations';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type { RunCallEvent, RunCallRequest } from '@limpetnotch/peer-protocol';
import type { Scheduler } from '@limpetnotch/scheduling';
import type { TargetClient } from '../targets/targetClient';
import { withSpan } from '../util/withSpan';
import { extractContext } from '../util/traceParent';
import { AnswerChannel } from './answerChannel';
import { createNotOwnerEvent, createProblemEvent } from './callEvents';
import { planCall } from './callPlan';
import { CallRunner } from './callRunner';
import type { OwnedPartition } from './ownedPartition';

/** Options of {@link CallOwner}. */
export interface CallOwnerOptions {
  readonly getConfiguration: () => Configuration;
  /** Returns the state of a partition that this instance owns, `undefined` for all others. */
  readonly getOwnedPartition: (partition: number) => OwnedPartition | undefined;
  readonly scheduler: Scheduler;
  /** Called when this instance has served a call of an organisation. */
  readonly onServed: (organisation: string) => void;
  readonly targets: TargetClient;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly tracer: Tracer;
}

interface RunningCall {
  readonly abort: AbortController;
  readonly finished: Promise<void>;
}

/** Runs the calls of the partitions that this instance owns. */
export class CallOwner {
  readonly #options: CallOwnerOptions;

  readonly #running = new Map<string, RunningCall>();

  constructor(options: CallOwnerOptions) {
    this.#options = options;
  }

  /** Number of calls in progress. */
  get runningCalls(): number {
    return this.#running.size;
  }

  /**
   * Starts a call and returns its events. The call continues when the reader stops reading; only
   * {@link cancel} ends it early.
   */
  run(request: RunCallRequest): AnswerChannel<RunCallEvent> {
    const channel = new AnswerChannel<RunCallEvent>();
    const abort = new AbortController();
    const finished = this.#run(request, channel, abort.signal);
    this.#running.set(request.relayId, { abort, finished });
    void finished.finally(() => this.#running.delete(request.relayId));
    return channel;
  }

  /** Cancels a call whose caller has disconnected; returns whether it was in progress. */
  cancel(relayId: string): boolean {
    const call = this.#running.get(relayId);
    call?.abort.abort();
    return call !== undefined;
  }

  /** Resolves when no call is in progress. */
  async drain(): Promise<void> {
    while (this.#running.size > 0) {
      await Promise.all([...this.#running.values()].map(async ({ finished }) => finished));
    }
  }

  async #run(
    request: RunCallRequest,
    channel: AnswerChannel<RunCallEvent>,
    signal: AbortSignal,
  ): Promise<void> {
    const { logger, metrics, tracer } = this.#options;
    metrics.increment('owner.calls');
    try {
      await context.with(extractContext(request.traceParent), async () =>
        withSpan(tracer, 'owner', async () => this.#runInSpan(request, channel, signal)),
      );
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      metrics.increment('owner.failures');
      logger.error('owner.call-failed', { route: request.route, reason });
      await channel.push(
        createProblemEvent({
          problem: 'internal-error',
          executed: 'unknown',
          detail: 'the call failed inside the instance',
        }),
      );
    } finally {
      channel.close();
    }
  }

  async #runInSpan(
    request: RunCallRequest,
    channel: AnswerChannel<RunCallEvent>,
    signal: AbortSignal,
  ): Promise<void> {
    const partition = this.#options.getOwnedPartition(request.partition);
    if (!partition) {
      await channel.push(createNotOwnerEvent(0, 'no'));
      return;
    }
    const plan = planCall(request, this.#options.getConfiguration());
    if (plan.isErr()) {
      await channel.push(createProblemEvent(plan.error));
      return;
    }
    const runner = new CallRunner({
      ...this.#options,
      request,
      plan: plan.value,
      partition,
      channel,
      signal,
    });
    await runner.run();
    this.#options.onServed(request.organisation);
  }
}
