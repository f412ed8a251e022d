import type { ResultAsync } from 'neverthrow';
import type { Member } from './member';

/** Why a peer gave no answer. */
export interface PeerError {
  readonly kind: 'unreachable';
  readonly detail: string;
}

/** What one instance tells another at each heartbeat. */
export interface Heartbeat {
  readonly member: Member;
  /** Revision of the configuration in force at the sender. */
  readonly configurationRevision: number;
  /** Whether the sender reached the store lately. */
  readonly storeReachable: boolean;
}

/** Question of an owner whose lease may have lapsed during a store outage. */
export interface WitnessRequest {
  readonly partition: number;
  readonly epoch: number;
  readonly owner: Member;
  /** Time for which the witness promises to accept no newer epoch. */
  readonly holdMilliseconds: number;
  /** Records kept at the witness until the store is back; JSON texts. */
  readonly deferredRecords: readonly string[];
}

/** Answer of a witness. */
export type WitnessReply =
  | { readonly kind: 'confirmed' }
  /** The witness reaches the store, or knows a newer epoch. */
  | { readonly kind: 'refused'; readonly newestEpoch: number };

/** Notice of a new owner to the partition's witnesses. */
export interface TakeoverNotice {
  readonly partition: number;
  readonly epoch: number;
  readonly owner: Member;
}

/** Answer to a takeover notice, with the records that the witness held for the old owner. */
export type TakeoverReply =
  | { readonly kind: 'noted'; readonly deferredRecords: readonly string[] }
  /** The witness promised the old owner to wait; ask again after that time. */
  | { readonly kind: 'held'; readonly forMilliseconds: number };

/** Messages between instances, as membership and ownership need them. */
export interface PeerChannel {
  heartbeat(peer: Member, heartbeat: Heartbeat): ResultAsync<Heartbeat, PeerError>;
  confirmWitness(peer: Member, request: WitnessRequest): ResultAsync<WitnessReply, PeerError>;
  announceTakeover(peer: Member, notice: TakeoverNotice): ResultAsync<TakeoverReply, PeerError>;
  /** Tells the next owner that it may claim partitions at once. */
  offerPartitions(peer: Member, partitions: readonly number[]): ResultAsync<void, PeerError>;
}
