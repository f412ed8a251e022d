import type { ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';
import type { LimitHolders } from './chooseLimitHolders';
import type { LimitChange } from './targetLimitState';
import type { LimitGate } from './limitGate';
import { LimitsInForce } from './limitsInForce';
import type { LimitKnowledge } from './limitKnowledge';
import type { KeyedLimitState, LimitMembership, LimitPeers } from './limitPeers';

/** Changes within this time are sent together. */
const BATCH_DELAY_MILLISECONDS = 20;

/** All instances are notified about one limit at most this often. */
const ANNOUNCEMENT_INTERVAL_MILLISECONDS = 1_000;

/** Interval at which limits are compared with one other instance, after missed announcements. */
const SYNC_INTERVAL_MILLISECONDS = 5_000;

/** Interval until the first response of another instance. */
const FIRST_SYNC_INTERVAL_MILLISECONDS = 300;

/** Key by which the instances are chosen that announce cold targets. */
const COLD_TARGETS_KEY = 'cold-targets';

/** Dependencies of a {@link LimitSharing}. */
export interface LimitSharingParts {
  readonly limits: LimitKnowledge;
  readonly gate: LimitGate;
  readonly peers: LimitPeers;
  readonly membership: LimitMembership;
}

/**
 * Shares the limits that targets name. An instance that learns one tells its holders, and the owner
 * tells all instances that the limit exists, so that those without a response of their own keep it.
 */
export class LimitSharing {
  readonly #parts: LimitSharingParts;

  /** Changed limits for the holders of each. */
  #forHolders = new Map<string, KeyedLimitState>();

  /** Changed limits for all instances. */
  readonly #forAll = new Map<string, KeyedLimitState>();

  readonly #announcedAt = new Map<string, number>();

  #timer: NodeJS.Timeout | undefined;

  constructor(parts: LimitSharingParts) {
    this.#parts = parts;
    parts.limits.onChange((change) => this.#schedule(change));
  }

  get task(): ChildSpecification {
    return {
      name: 'limit-sync',
      restart: 'always',
      run: async ({ signal, ready }) => {
        ready();
        await this.#synchronize(signal);
      },
    };
  }

  /** Merges limits that another instance announced. */
  receive(limits: readonly KeyedLimitState[]): void {
    limits.forEach(({ incarnationKey, state }) => this.#parts.limits.merge(incarnationKey, state));
  }

  /** Returns the limits that this instance knows. */
  list(): readonly KeyedLimitState[] {
    return [...this.#parts.limits.limited].map(([incarnationKey, state]) => ({
      incarnationKey,
      state,
    }));
  }

  /** Forgets incarnations that are no longer known. */
  retain(isKnown: (incarnationKey: string) => boolean): void {
    [this.#forAll, this.#announcedAt].forEach((map) =>
      [...map.keys()].filter((key) => !isKnown(key)).forEach((key) => map.delete(key)),
    );
  }

  #schedule(change: LimitChange): void {
    const { incarnationKey, state } = change;
    const isExistenceChanged = change.isFirst || state.kind === 'ended';
    if (this.#announcesToAll(incarnationKey)) {
      if (isExistenceChanged) this.#forAll.set(incarnationKey, { incarnationKey, state });
    } else if (change.source === 'response') {
      this.#forHolders.set(incarnationKey, { incarnationKey, state });
    }
    this.#startTimer(BATCH_DELAY_MILLISECONDS);
  }

  /** Whether this instance announces a limit to all others. */
  #announcesToAll(incarnationKey: string): boolean {
    const { peers, membership } = this.#parts;
    const { owner, deputy } = this.#getAnnouncers(incarnationKey);
    if (owner === membership.instance) return true;
    if (deputy !== membership.instance) return false;
    // Either of them may have lost the store, from which they learn that a target is cold.
    return LimitsInForce.isColdKey(incarnationKey) || !peers.names.includes(owner ?? '');
  }

  /**
   * Returns the instances that announce a limit to all others: its holders or, for all cold targets
   * together, two instances, so that many cold targets need one call to each instance.
   */
  #getAnnouncers(incarnationKey: string): LimitHolders {
    const isCold = LimitsInForce.isColdKey(incarnationKey);
    return this.#parts.gate.getHolders(isCold ? COLD_TARGETS_KEY : incarnationKey);
  }

  #startTimer(milliseconds: number): void {
    if (this.#timer || this.#forHolders.size + this.#forAll.size === 0) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      void this.#send();
    }, milliseconds);
    this.#timer.unref();
  }

  async #send(): Promise<void> {
    const { peers, membership } = this.#parts;
    const forHolders = [...this.#forHolders.values()];
    this.#forHolders = new Map();
    const byHolder = new Map<string, KeyedLimitState[]>();
    forHolders.forEach((limit) => {
      const { owner, deputy } = this.#getAnnouncers(limit.incarnationKey);
      [owner, deputy].forEach((name) => {
        if (name === undefined || name === membership.instance) return;
        byHolder.set(name, [...(byHolder.get(name) ?? []), limit]);
      });
    });
    const forAll = this.#takeDueAnnouncements();
    this.#startTimer(ANNOUNCEMENT_INTERVAL_MILLISECONDS);
    await Promise.all([
      ...[...byHolder].map(([name, limits]) => peers.announceLimits([name], limits)),
      ...(forAll.length > 0 ? [peers.announceLimits(peers.names, forAll)] : []),
    ]);
  }

  /** Takes the announcements whose limit was not announced within the interval. */
  #takeDueAnnouncements(): readonly KeyedLimitState[] {
    const now = performance.now();
    const due = [...this.#forAll.values()].filter(({ incarnationKey }) => {
      const announcedAt = this.#announcedAt.get(incarnationKey) ?? -Infinity;
      return now - announcedAt >= ANNOUNCEMENT_INTERVAL_MILLISECONDS;
    });
    due.forEach(({ incarnationKey }) => {
      this.#forAll.delete(incarnationKey);
      this.#announcedAt.set(incarnationKey, now);
    });
    return due;
  }

  /** Asks one other instance after another for its limits: at the start, and after a pause or cut. */
  async #synchronize(signal: AbortSignal): Promise<void> {
    let round = 0;
    while (!signal.aborted) {
      const { names } = this.#parts.peers;
      const name = names[round % Math.max(1, names.length)];
      const limits = name === undefined ? undefined : await this.#parts.peers.listLimits(name);
      if (limits) this.receive(limits);
      round += 1;
      await delay(limits ? SYNC_INTERVAL_MILLISECONDS : FIRST_SYNC_INTERVAL_MILLISECONDS, signal);
    }
  }
}
