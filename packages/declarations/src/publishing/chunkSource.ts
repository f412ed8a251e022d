import type { ResultAsync } from 'neverthrow';

/** Why a value could not be read from a source. */
export interface SourceError {
  readonly kind: 'source-unreachable';
  readonly detail: string;
}

/** Source of the stored values of a configuration, by digest. */
export interface ChunkSource {
  /** Reads a value; undefined where the source lacks it. The caller must verify the digest. */
  readValue(digest: string): ResultAsync<string | undefined, SourceError>;
}

/** One or several peers that a follower queries while the store is unavailable. */
export interface PeerConfigurationSource extends ChunkSource {
  /** Reads the root value in force at the peer; undefined where there is none. */
  readRoot(): ResultAsync<string | undefined, SourceError>;
}
