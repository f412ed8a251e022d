import type { ResultAsync } from 'neverthrow';

/** Why a source gave no value. */
export interface SourceError {
  readonly kind: 'source-unreachable';
  readonly detail: string;
}

/** Where the stored values of a configuration can be read by digest. */
export interface ChunkSource {
  /** Reads a value; undefined where the source lacks it. The reader checks the digest. */
  readValue(digest: string): ResultAsync<string | undefined, SourceError>;
}

/** A peer, or a few of them, that a follower asks while the store is out. */
export interface PeerConfigurationSource extends ChunkSource {
  /** Reads the root value that the peer has in force; undefined where it has none. */
  readRoot(): ResultAsync<string | undefined, SourceError>;
}
