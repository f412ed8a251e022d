import type { Metrics } from '@limpetnotch/observability';
import type { DeferredLog } from './deferredLog';
import { decodeLog, encodeLog } from './deferredLog';
import type { TakeoverNotice, TakeoverReply, WitnessReply, WitnessRequest } from './peerChannel';

/** Options of a {@link Witness}. */
export interface WitnessOptions {
  /** Incarnation of this instance. */
  readonly incarnation: string;
  /** Longest promise that this witness gives to an owner, in milliseconds. */
  readonly holdMilliseconds: number;
  readonly metrics: Metrics;
  isStoreReachable(): boolean;
  /** Returns the newest epoch of a partition that this instance knows of; 0 if none. */
  knownEpoch(partition: number): number;
}

interface WitnessState {
  readonly acceptedEpoch: number;
  /** Time of the monotonic clock until which no newer epoch is accepted. */
  readonly promisedUntil: number;
  readonly log: DeferredLog | undefined;
}

const INITIAL_STATE: WitnessState = { acceptedEpoch: 0, promisedUntil: -Infinity, log: undefined };

/**
 * Replies to owners and claimers during an outage of the store. It confirms an owner only while it
 * cannot reach the store itself, and accepts a newer epoch only after all its promises have
 * expired.
 */
export class Witness {
  readonly #options: WitnessOptions;

  readonly #states = new Map<number, WitnessState>();

  readonly #startedAt = performance.now();

  constructor(options: WitnessOptions) {
    this.#options = options;
  }

  /** Promises an owner to accept no newer epoch for the requested time, and stores its records. */
  confirm(request: WitnessRequest): WitnessReply {
    const reply = request.holdMilliseconds === 0 ? this.#release(request) : this.#promise(request);
    this.#options.metrics.increment('witness.confirmations', 1, { result: reply.kind });
    return reply;
  }

  /** Accepts a new owner, unless a promise to the previous one is still in force. */
  handleTakeover({ partition, epoch }: TakeoverNotice): TakeoverReply {
    const now = performance.now();
    const state = this.#getState(partition);
    // A restarted witness does not know its earlier promises, so it waits until all have expired.
    const recoveringUntil = this.#startedAt + this.#options.holdMilliseconds;
    const promisedUntil = Math.max(state.promisedUntil, recoveringUntil);
    this.#options.metrics.increment('witness.notices');
    if (epoch > state.acceptedEpoch && promisedUntil > now) {
      return { kind: 'held', forMilliseconds: Math.ceil(promisedUntil - now) };
    }
    const acceptedEpoch = Math.max(state.acceptedEpoch, epoch);
    this.#states.set(partition, { ...state, acceptedEpoch });
    return { kind: 'noted', deferredRecords: encodeLog(this.#toReplyLog(state)) };
  }

  #promise(request: WitnessRequest): WitnessReply {
    const { partition, epoch, holdMilliseconds } = request;
    const state = this.#getState(partition);
    const newestEpoch = Math.max(state.acceptedEpoch, this.#options.knownEpoch(partition));
    const refusal: WitnessReply = { kind: 'refused', newestEpoch };
    if (epoch < newestEpoch || this.#options.isStoreReachable()) return refusal;
    const sent = decodeLog(request.deferredRecords);
    if (sent?.position.witness !== this.#options.incarnation) return refusal;
    const log = Witness.#mergeLogs(state.log, sent);
    if (!log) return refusal;
    const promiseMilliseconds = Math.min(holdMilliseconds, this.#options.holdMilliseconds);
    const promisedUntil = Math.max(state.promisedUntil, performance.now() + promiseMilliseconds);
    this.#states.set(partition, { acceptedEpoch: epoch, promisedUntil, log });
    return { kind: 'confirmed' };
  }

  /** Removes records that are committed by now, and the promise. */
  #release({ partition, epoch }: WitnessRequest): WitnessReply {
    const state = this.#getState(partition);
    if (epoch < state.acceptedEpoch) return { kind: 'refused', newestEpoch: state.acceptedEpoch };
    this.#states.set(partition, { acceptedEpoch: epoch, promisedUntil: -Infinity, log: undefined });
    return { kind: 'confirmed' };
  }

  /**
   * Appends records to a log; `undefined` if the request is outdated or earlier records are
   * missing.
   */
  static #mergeLogs(kept: DeferredLog | undefined, sent: DeferredLog): DeferredLog | undefined {
    const { epoch, committed, first, request } = sent.position;
    const isSameEpoch = kept?.position.epoch === epoch;
    // A newer request arrived before this one, so it is outdated.
    if (isSameEpoch && kept.position.request > request) return undefined;
    if (first === committed) return sent;
    if (!isSameEpoch) return undefined;
    const keptCount = first - kept.position.first;
    if (keptCount < 0 || keptCount > kept.texts.length) return undefined;
    const texts = [...kept.texts.slice(0, keptCount), ...sent.texts];
    return { position: { ...sent.position, first: kept.position.first }, texts };
  }

  #toReplyLog({ log }: WitnessState): DeferredLog {
    const witness = this.#options.incarnation;
    if (log) return { position: { ...log.position, witness }, texts: log.texts };
    return { position: { witness, epoch: 0, committed: 0, first: 0, request: 0 }, texts: [] };
  }

  #getState(partition: number): WitnessState {
    return this.#states.get(partition) ?? INITIAL_STATE;
  }
}
