import type { PeerConfigurationSource, SourceError } from '@limpetnotch/declarations';
import type { PeerClients } from '@limpetnotch/peer-protocol';
import { ResultAsync } from 'neverthrow';

const CALL_OPTIONS = { timeoutMs: 1_000 } as const;

/** Key under which a peer returns the root of the configuration that it has in force. */
export const PEER_ROOT_KEY = 'root';

/** Options of {@link PeerConfiguration}. */
export interface PeerConfigurationOptions {
  readonly clients: PeerClients;
  /** Returns the addresses of the peers to query, in order of preference. */
  readonly listAddresses: () => readonly string[];
}

/** Reads the configuration from peers while the store is unavailable. */
export class PeerConfiguration implements PeerConfigurationSource {
  readonly #options: PeerConfigurationOptions;

  constructor(options: PeerConfigurationOptions) {
    this.#options = options;
  }

  readRoot(): ResultAsync<string | undefined, SourceError> {
    return this.#read(PEER_ROOT_KEY);
  }

  readValue(digest: string): ResultAsync<string | undefined, SourceError> {
    return this.#read(digest);
  }

  #read(key: string): ResultAsync<string | undefined, SourceError> {
    return ResultAsync.fromPromise(this.#readFromAnyPeer(key), (error) => ({
      kind: 'source-unreachable',
      detail: error instanceof Error ? error.message : String(error),
    }));
  }

  /** Queries one peer after another until one has the value. */
  async #readFromAnyPeer(key: string): Promise<string | undefined> {
    const { clients, listAddresses } = this.#options;
    let failure: unknown;
    for (const address of listAddresses()) {
      try {
        const { value } = await clients
          .to(address)
          .service.readConfigurationChunk({ key }, CALL_OPTIONS);
        if (value !== undefined) return value;
      } catch (error) {
        failure = error;
      }
    }
    if (failure !== undefined) throw new Error('no peer responded', { cause: failure });
    return undefined;
  }
}
