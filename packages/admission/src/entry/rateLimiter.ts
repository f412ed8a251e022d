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
  /** Returns the declared rate of an organisation; `undefined` if it is not declared. */
  readonly rateOf: (organisation: string) => Rate | undefined;
  /** Returns the address of the owner of an organisation's rate; `undefined` if there is none. */
  readonly groupOf: (organisation: string) => string | undefined;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Maximum time that a request waits for a token; 400 ms by default. */
  readonly holdMilliseconds?: number;
  /**
   * Maximum time that a request waits while owners are unavailable, and for how long after that the
   * same limit applies; 10 seconds by default.
   */
  readonly absentHoldMilliseconds?: number;
}

/** Called with the tokens of service that an organisation received from other instances. */
export type RemoteServiceListener = (organisation: string, tokens: number) => void;

/** Enforces the organisations' rates at one entry, using slices borrowed from the owners. */
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

  /** Number of organisations with state in memory. */
  get size(): number {
    return this.#queues.size;
  }

  /**
   * Acquires the token for one request from the local slices, or waits for one up to the maximum
   * wait. Fails with `rate-exceeded` immediately if no token is expected within that time, and when
   * the signal aborts; fails with `key-unknown` if the organisation is no longer declared.
   */
  acquire(organisation: string, signal: AbortSignal): ResultAsync<void, AdmissionError> {
    const rate = this.#options.rateOf(organisation);
    if (!rate) return errAsync({ kind: 'key-unknown' });
    if (this.#isStopped) return errAsync(STOPPED);
    return this.#getQueue(organisation, rate).acquire(rate, signal);
  }

  /** Reports service that an organisation received here, in tokens, with the next exchange. */
  reportService(organisation: string, tokens: number): void {
    const rate = this.#options.rateOf(organisation);
    if (rate) this.#getQueue(organisation, rate).addService(tokens);
  }

  /**
   * Adds a listener for service that other instances report; returns a function that removes it.
   */
  onRemoteService(listener: RemoteServiceListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Returns the limiter's tasks: one for each owner, and one that removes idle state. */
  asChild(): ChildSpecification {
    return this.#supervisor.asChild(async () => {
      await this.#supervisor.startChild({
        name: 'rate-limiter-sweep',
        restart: 'always',
        run: (context) => this.#sweep(context),
      });
    });
  }

  #getQueue(organisation: string, rate: Rate): OrganisationQueue {
    const existing = this.#queues.get(organisation);
    if (existing) return existing;
    const queue = new OrganisationQueue({
      organisation,
      rate,
      holdMilliseconds: this.#options.holdMilliseconds ?? DEFAULT_HOLD_MILLISECONDS,
      absentHoldMilliseconds: this.#absentHoldMilliseconds,
      dispatch: this.#dispatch,
      onLongAbsence: this.#startRecovery,
      isRecovering: this.#isRecovering,
      onRemoteService: this.#notifyRemoteService,
    });
    this.#queues.set(organisation, queue);
    return queue;
  }

  readonly #dispatch = (queue: OrganisationQueue): void => {
    const group = this.#options.groupOf(queue.organisation);
    if (group === undefined) queue.markOwnerAbsent();
    else if (!this.#isStopped) this.#getGroup(group).add(queue);
  };

  readonly #startRecovery = (): void => {
    this.#recoversUntilMilliseconds = performance.now() + this.#absentHoldMilliseconds;
  };

  readonly #isRecovering = (): boolean => performance.now() < this.#recoversUntilMilliseconds;

  readonly #notifyRemoteService = (organisation: string, tokens: number): void => {
    for (const listener of this.#listeners) listener(organisation, tokens);
  };

  #getGroup(group: string): OwnerGroup {
    const existing = this.#groups.get(group);
    if (existing) return existing;
    const { source, metrics } = this.#options;
    const created = new OwnerGroup({ group, source, metrics });
    this.#groups.set(group, created);
    void this.#supervisor.startChild(created.asChild());
    return created;
  }

  async #sweep({ signal, ready }: ChildContext): Promise<void> {
    ready();
    while (!signal.aborted) {
      await delay(SWEEP_MILLISECONDS, signal);
      this.#removeIdleQueues();
      await this.#removeIdleGroups();
    }
    this.#stop();
  }

  #removeIdleQueues(): void {
    for (const [organisation, queue] of this.#queues) {
      if (queue.isIdle()) this.#queues.delete(organisation);
    }
    this.#options.metrics.gauge('rates.organisations', this.#queues.size);
  }

  async #removeIdleGroups(): Promise<void> {
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
