import type { Rate } from '@limpetnotch/declarations';
import type { Logger, Metrics } from '@limpetnotch/observability';
import { delay, Supervisor } from '@limpetnotch/supervision';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { errAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';
import type { AdmissionError } from '../admissionError';
import { OrganisationQueue } from './organisationQueue';
import { OwnerGroup } from './ownerGroup';
import type { SliceSource } from './sliceSource';

const DEFAULT_HOLD_MILLISECONDS = 400;
const DEFAULT_ABSENT_HOLD_MILLISECONDS = 10_000;
const SWEEP_MILLISECONDS = 5_000;

const STOPPED: AdmissionError = { kind: 'rate-exceeded', retryAfterMilliseconds: 1_000 };

/** Options of a {@link RateLimiter}. */
export interface RateLimiterOptions {
  readonly source: SliceSource;
  /** Declared rate of an organisation; `undefined` where it is not declared. */
  readonly rateOf: (organisation: string) => Rate | undefined;
  /** Address of the owner of an organisation's rate; `undefined` where it is not known. */
  readonly groupOf: (organisation: string) => string | undefined;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Time that a request waits for a token; 400 ms by default. */
  readonly holdMilliseconds?: number;
  /** Time that a request waits while owners are missing, and so long after; 10 seconds by default. */
  readonly absentHoldMilliseconds?: number;
}

/** Hears of service that other instances gave to an organisation. */
export type RemoteServiceListener = (organisation: string, tokens: number) => void;

/** Keeps the organisations' rates at one entry, by slices borrowed from the owners. */
export class RateLimiter {
  readonly #options: RateLimiterOptions;

  readonly #queues = new Map<string, OrganisationQueue>();

  readonly #groups = new Map<string, OwnerGroup>();

  readonly #listeners = new Set<RemoteServiceListener>();

  readonly #supervisor: Supervisor;

  readonly #absentHoldMilliseconds: number;

  #recoversUntilMilliseconds = 0;

  #isStopped = false;

  constructor(options: RateLimiterOptions) {
    this.#options = options;
    this.#absentHoldMilliseconds =
      options.absentHoldMilliseconds ?? DEFAULT_ABSENT_HOLD_MILLISECONDS;
    const { logger, metrics } = options;
    this.#supervisor = new Supervisor({ name: 'rate-limiter', logger, metrics });
  }

  /** Number of organisations whose state is kept. */
  get size(): number {
    return this.#queues.size;
  }

  /**
   * Takes one request's token from the local slice, or waits for one within the hold. Refuses with
   * `rate-exceeded` at once where none will come within it, and when the signal aborts; with
   * `key-unknown` where the organisation is not declared any more.
   */
  acquire(organisation: string, signal: AbortSignal): ResultAsync<void, AdmissionError> {
    const rate = this.#options.rateOf(organisation);
    if (!rate) return errAsync({ kind: 'key-unknown' });
    if (this.#isStopped) return errAsync(STOPPED);
    return this.#queueOf(organisation, rate).acquire(rate, signal);
  }

  /** Reports tokens of service that an organisation got here; they go with the next exchange. */
  reportService(organisation: string, tokens: number): void {
    const rate = this.#options.rateOf(organisation);
    if (rate) this.#queueOf(organisation, rate).addService(tokens);
  }

  /** Adds a listener to service given elsewhere; returns what removes it. */
  onRemoteService(listener: RemoteServiceListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** The limiter's tasks: one for each owner, and one that drops what is idle. */
  asChild(): ChildSpecification {
    return this.#supervisor.asChild(async () => {
      await this.#supervisor.startChild({
        name: 'rate-limiter-sweep',
        restart: 'always',
        run: (context) => this.#sweep(context),
      });
    });
  }

  #queueOf(organisation: string, rate: Rate): OrganisationQueue {
    const known = this.#queues.get(organisation);
    if (known) return known;
    const queue = new OrganisationQueue({
      organisation,
      rate,
      holdMilliseconds: this.#options.holdMilliseconds ?? DEFAULT_HOLD_MILLISECONDS,
      absentHoldMilliseconds: this.#absentHoldMilliseconds,
      dispatch: this.#dispatch,
      onLongAbsence: this.#noteLongAbsence,
      isRecovering: this.#isRecovering,
      onRemoteService: this.#hearService,
    });
    this.#queues.set(organisation, queue);
    return queue;
  }

  readonly #dispatch = (queue: OrganisationQueue): void => {
    const group = this.#options.groupOf(queue.organisation);
    if (group === undefined) queue.noteAbsence();
    else if (!this.#isStopped) this.#groupOf(group).add(queue);
  };

  readonly #noteLongAbsence = (): void => {
    this.#recoversUntilMilliseconds = performance.now() + this.#absentHoldMilliseconds;
  };

  readonly #isRecovering = (): boolean => performance.now() < this.#recoversUntilMilliseconds;

  readonly #hearService = (organisation: string, tokens: number): void => {
    for (const listener of this.#listeners) listener(organisation, tokens);
  };

  #groupOf(group: string): OwnerGroup {
    const known = this.#groups.get(group);
    if (known) return known;
    const { source, metrics } = this.#options;
    const started = new OwnerGroup({ group, source, metrics });
    this.#groups.set(group, started);
    void this.#supervisor.startChild(started.asChild());
    return started;
  }

  async #sweep({ signal, ready }: ChildContext): Promise<void> {
    ready();
    while (!signal.aborted) {
      await delay(SWEEP_MILLISECONDS, signal);
      this.#dropIdleQueues();
      await this.#dropIdleGroups();
    }
    this.#stop();
  }

  #dropIdleQueues(): void {
    for (const [organisation, queue] of this.#queues) {
      if (queue.isIdle()) this.#queues.delete(organisation);
    }
    this.#options.metrics.gauge('rates.organisations', this.#queues.size);
  }

  async #dropIdleGroups(): Promise<void> {
    for (const [group, task] of this.#groups) {
      if (task.isIdle()) {
        this.#groups.delete(group);
        await this.#supervisor.stopChild(task.name);
      }
    }
  }

  #stop(): void {
    this.#isStopped = true;
    for (const queue of this.#queues.values()) queue.close();
    this.#queues.clear();
  }
}
