import type { Tracer } from '@opentelemetry/api';
import { context } from '@opentelemetry/api';
import type { Configuration } from '@limpetnotch/declarations';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type { RunCallEvent, RunCallRequest } from '@limpetnotch/peer-protocol';
import type { Scheduler } from '@limpetnotch/scheduling';
import type { TargetClient } from '../targets/targetClient';
import { inSpan } from '../util/inSpan';
import { contextOf } from '../util/traceParent';
import { AnswerChannel } from './answerChannel';
import { notOwnerEvent, problemEvent } from './callEvents';
import { planCall } from './callPlan';
import { CallRunner } from './callRunner';
import type { OwnedPartition } from './ownedPartition';

/** What the owner side of an instance needs. */
export interface CallOwnerOptions {
  readonly configuration: () => Configuration;
  /** Returns a partition that this instance owns, `undefined` for all others. */
  readonly partition: (partition: number) => OwnedPartition | undefined;
  readonly scheduler: Scheduler;
  /** Called when an organisation was served here. */
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

  /** Number of calls under way. */
  get runningCalls(): number {
    return this.#running.size;
  }

  /**
   * Starts a call and returns its events. The call goes on when the reader stops reading; it ends
   * early only by {@link cancel}.
   */
  run(request: RunCallRequest): AnswerChannel<RunCallEvent> {
    const channel = new AnswerChannel<RunCallEvent>();
    const abort = new AbortController();
    const finished = this.#run(request, channel, abort.signal);
    this.#running.set(request.relayId, { abort, finished });
    void finished.finally(() => this.#running.delete(request.relayId));
    return channel;
  }

  /** Cancels a call whose caller went away; returns whether it was under way. */
  cancel(relayId: string): boolean {
    const call = this.#running.get(relayId);
    call?.abort.abort();
    return call !== undefined;
  }

  /** Resolves when no call is under way. */
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
      await context.with(contextOf(request.traceParent), async () =>
        inSpan(tracer, 'owner', async () => this.#runInSpan(request, channel, signal)),
      );
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      metrics.increment('owner.failures');
      logger.error('owner.call-failed', { route: request.route, reason });
      await channel.push(
        problemEvent({
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
    const partition = this.#options.partition(request.partition);
    if (!partition) {
      await channel.push(notOwnerEvent(0));
      return;
    }
    const plan = planCall(request, this.#options.configuration());
    if (plan.isErr()) {
      await channel.push(problemEvent(plan.error));
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
