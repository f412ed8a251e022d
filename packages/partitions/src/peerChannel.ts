import type { ResultAsync } from 'neverthrow';
import type { Member } from './member';

/** Reason why a peer did not respond. */
export interface PeerError {
  readonly kind: 'unreachable';
  readonly detail: string;
}

/** State that one instance sends to another with each heartbeat. */
export interface Heartbeat {
  readonly member: Member;
  /** Revision of the configuration in force at the sender. */
  readonly configurationRevision: number;
  /** Whether the sender reached the store recently. */
  readonly storeReachable: boolean;
}

/** Request of an owner whose lease may have lapsed during an outage of the store. */
export interface WitnessRequest {
  readonly partition: number;
  readonly epoch: number;
  readonly owner: Member;
  /**
   * Time for which the witness is to accept no newer epoch, in milliseconds; 0 ends the promise.
   */
  readonly holdMilliseconds: number;
  /** Records that the witness stores until the store is reachable again, as JSON texts. */
  readonly deferredRecords: readonly string[];
}

/** Reply of a witness to an owner. */
export type WitnessReply =
  | { readonly kind: 'confirmed' }
  /** The witness reaches the store, or knows a newer epoch. */
  | { readonly kind: 'refused'; readonly newestEpoch: number };

/** Notice from a new owner to the witnesses of the partition. */
export interface TakeoverNotice {
  readonly partition: number;
  readonly epoch: number;
  readonly owner: Member;
}

/** Reply to a takeover notice, with the records that the witness stored for the previous owner. */
export type TakeoverReply =
  | { readonly kind: 'noted'; readonly deferredRecords: readonly string[] }
  /** A promise to the previous owner is in force; repeat the notice after the given time. */
  | { readonly kind: 'held'; readonly forMilliseconds: number };

/** Messages between instances for membership and ownership. */
export interface PeerChannel {
  heartbeat(peer: Member, heartbeat: Heartbeat): ResultAsync<Heartbeat, PeerError>;
  confirmWitness(peer: Member, request: WitnessRequest): ResultAsync<WitnessReply, PeerError>;
  announceTakeover(peer: Member, notice: TakeoverNotice): ResultAsync<TakeoverReply, PeerError>;
  /** Notifies the next owner that it may claim partitions at once. */
  offerPartitions(peer: Member, partitions: readonly number[]): ResultAsync<void, PeerError>;
}
