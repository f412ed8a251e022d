import type { Metrics } from '@limpetnotch/observability';
import type { DeferredLog } from './deferredLog';
import { decodeLog, encodeLog } from './deferredLog';
import type { TakeoverNotice, TakeoverReply, WitnessReply, WitnessRequest } from './peerChannel';

/** Options of a {@link Witness}. */
export interface WitnessOptions {
  /** Incarnation of this instance. */
  readonly incarnation: string;
  /** Longest time for which an owner may ask this witness to wait, in milliseconds. */
  readonly holdMilliseconds: number;
  readonly metrics: Metrics;
  isStoreReachable(): boolean;
  /** Newest epoch of a partition that this instance heard of; 0 if none. */
  knownEpoch(partition: number): number;
}

interface PartitionNotes {
  readonly notedEpoch: number;
  /** Time of the monotonic clock until which no newer epoch is noted. */
  readonly heldUntil: number;
  readonly log: DeferredLog | undefined;
}

const NO_NOTES: PartitionNotes = { notedEpoch: 0, heldUntil: -Infinity, log: undefined };

/**
 * Answers owners and claimers while the store is out. It confirms an owner only while it cannot
 * reach the store itself, and takes note of a newer epoch only when all its promises are over.
 */
export class Witness {
  readonly #options: WitnessOptions;

  readonly #notes = new Map<number, PartitionNotes>();

  readonly #startedAt = performance.now();

  constructor(options: WitnessOptions) {
    this.#options = options;
  }

  /** Promises an owner to note no newer epoch for a while, and keeps its records. */
  confirm(request: WitnessRequest): WitnessReply {
    const reply = request.holdMilliseconds === 0 ? this.#release(request) : this.#hold(request);
    this.#options.metrics.increment('witness.confirmations', 1, { result: reply.kind });
    return reply;
  }

  /** Takes note of a new owner, unless the old one was promised some more time. */
  note({ partition, epoch }: TakeoverNotice): TakeoverReply {
    const now = performance.now();
    const notes = this.#notesOf(partition);
    // A restarted witness does not know what it promised before.
    const recovering = this.#startedAt + this.#options.holdMilliseconds;
    const heldUntil = Math.max(notes.heldUntil, recovering);
    this.#options.metrics.increment('witness.notices');
    if (epoch > notes.notedEpoch && heldUntil > now) {
      return { kind: 'held', forMilliseconds: Math.ceil(heldUntil - now) };
    }
    const notedEpoch = Math.max(notes.notedEpoch, epoch);
    this.#notes.set(partition, { ...notes, notedEpoch });
    return { kind: 'noted', deferredRecords: encodeLog(this.#ownLog(notes)) };
  }

  #hold(request: WitnessRequest): WitnessReply {
    const { partition, epoch, holdMilliseconds } = request;
    const notes = this.#notesOf(partition);
    const newestEpoch = Math.max(notes.notedEpoch, this.#options.knownEpoch(partition));
    const refused: WitnessReply = { kind: 'refused', newestEpoch };
    if (epoch < newestEpoch || this.#options.isStoreReachable()) return refused;
    const sent = decodeLog(request.deferredRecords);
    if (sent?.position.witness !== this.#options.incarnation) return refused;
    const log = Witness.#join(notes.log, sent);
    if (!log) return refused;
    const hold = Math.min(holdMilliseconds, this.#options.holdMilliseconds);
    const heldUntil = Math.max(notes.heldUntil, performance.now() + hold);
    this.#notes.set(partition, { notedEpoch: epoch, heldUntil, log });
    return { kind: 'confirmed' };
  }

  /** Forgets records that are in the store by now, and the promise. */
  #release({ partition, epoch }: WitnessRequest): WitnessReply {
    const notes = this.#notesOf(partition);
    if (epoch < notes.notedEpoch) return { kind: 'refused', newestEpoch: notes.notedEpoch };
    this.#notes.set(partition, { notedEpoch: epoch, heldUntil: -Infinity, log: undefined });
    return { kind: 'confirmed' };
  }

  /** Adds records to a log; `undefined` where records before them are missing. */
  static #join(kept: DeferredLog | undefined, sent: DeferredLog): DeferredLog | undefined {
    const { epoch, committed, first, request } = sent.position;
    const isSameEpoch = kept?.position.epoch === epoch;
    // A request that was overtaken on its way says nothing new.
    if (isSameEpoch && kept.position.request > request) return undefined;
    if (first === committed) return sent;
    if (!isSameEpoch) return undefined;
    const before = first - kept.position.first;
    if (before < 0 || before > kept.texts.length) return undefined;
    const texts = [...kept.texts.slice(0, before), ...sent.texts];
    return { position: { ...sent.position, first: kept.position.first }, texts };
  }

  #ownLog({ log }: PartitionNotes): DeferredLog {
    const witness = this.#options.incarnation;
    if (log) return { position: { ...log.position, witness }, texts: log.texts };
    return { position: { witness, epoch: 0, committed: 0, first: 0, request: 0 }, texts: [] };
  }

  #notesOf(partition: number): PartitionNotes {
    return this.#notes.get(partition) ?? NO_NOTES;
  }
}
