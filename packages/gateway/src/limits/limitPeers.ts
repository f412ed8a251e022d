import type { TargetLimitState } from './targetLimitState';

/** What an instance knows about the limit of an incarnation. */
export interface KeyedLimitState {
  readonly incarnationKey: string;
  readonly state: TargetLimitState;
}

/** Request of an instance for tokens of a target's limit. */
export interface TokenRequest extends KeyedLimitState {
  /** Name of the requesting instance. */
  readonly instance: string;
  readonly wanted: number;
  /** Revision of the list of members by which the holder was chosen. */
  readonly membersRevision: number;
  readonly isOwnerUnreachable: boolean;
}

/** Response to a {@link TokenRequest}. */
export interface TokenReply {
  readonly given: number;
  /** Whole tokens that the holder has left. */
  readonly remaining: number;
  /** Time after which the requesting instance may get the next token. */
  readonly nextMilliseconds: number;
  /** What the holder knows about the limit; undefined if it knows nothing. */
  readonly state: TargetLimitState | undefined;
  readonly membersRevision: number;
  /** Whether the responding instance hands out tokens of this limit. */
  readonly isHolder: boolean;
}

/** Access to the other instances for sharing the limits of targets. */
export interface LimitPeers {
  /** Names of the instances that are present. */
  readonly names: readonly string[];
  /** Requests tokens from one instance; undefined if it doesn't respond in time. */
  takeTargetTokens(name: string, request: TokenRequest): Promise<TokenReply | undefined>;
  /** Notifies instances of limits; those that don't respond in time are skipped. */
  announceLimits(names: readonly string[], limits: readonly KeyedLimitState[]): Promise<void>;
  /** Returns the limits that an instance knows; undefined if it doesn't respond in time. */
  listLimits(name: string): Promise<readonly KeyedLimitState[] | undefined>;
}

/** Membership of the fleet, as far as it decides who hands out tokens. */
export interface LimitMembership {
  readonly instance: string;
  /** Lists of members that may be in use, the current one last. */
  readonly memberLists: readonly (readonly string[])[];
  readonly membersRevision: number;
  /** Whether the store has confirmed recently that it is reachable. */
  readonly isConfirmed: boolean;
  /** Reads the list of members if an instance has a newer one. */
  noteRevision(revision: number): void;
}
