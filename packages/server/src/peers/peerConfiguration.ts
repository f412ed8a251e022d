import type { PeerConfigurationSource, SourceError } from '@limpetnotch/declarations';
import type { PeerClients } from '@limpetnotch/peer-protocol';
import { ResultAsync } from 'neverthrow';

const LIMITS = { timeoutMs: 1_000 } as const;

/** Key under which a peer gives the root of the configuration that it has in force. */
export const PEER_ROOT_KEY = 'root';

/** Options of {@link PeerConfiguration}. */
export interface PeerConfigurationOptions {
  readonly clients: PeerClients;
  /** Addresses of the peers to ask, the most useful first. */
  readonly addresses: () => readonly string[];
}

/** Reads the configuration from peers while the store is out. */
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
    return ResultAsync.fromPromise(this.#readAny(key), (error) => ({
      kind: 'source-unreachable',
      detail: error instanceof Error ? error.message : String(error),
    }));
  }

  /** Asks one peer after another until one has the value. */
  async #readAny(key: string): Promise<string | undefined> {
    const { clients, addresses } = this.#options;
    let failure: unknown;
    for (const address of addresses()) {
      try {
        const { value } = await clients.to(address).service.readConfigurationChunk({ key }, LIMITS);
        if (value !== undefined) return value;
      } catch (error) {
        failure = error;
      }
    }
    if (failure !== undefined) throw new Error('no peer answered', { cause: failure });
    return undefined;
  }
}
