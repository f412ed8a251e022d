import type { Logger, Metrics } from '@limpetnotch/observability';
import type { Turn } from '@limpetnotch/peer-protocol';
import type { Result } from 'neverthrow';
import { countCopies } from '../decisions/countCopies';
import type { ToleratedLosses } from '../decisions/toleratedLosses';
import { TurnClients } from '../storage/turnClients';
import { ChainCache } from './chainCache';
import type { ChainReading, TurnReference } from './chainReader';
import { ChainReader } from './chainReader';
import type { StorageDirectory } from './storageDirectory';
import type { KeepError } from './turnKeeper';
import { TurnKeeper } from './turnKeeper';

/** Options of {@link RetainedTurns}. */
export interface RetainedTurnsOptions {
  readonly directory: StorageDirectory;
  readonly toleratedLosses: ToleratedLosses;
  /** Whether the store has responded within the last seconds, so that the directory is current. */
  readonly isListCurrent: () => boolean;
  /** Maximum size of the cached turns. */
  readonly cacheBytes: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Turns that the system retains for its callers, as an instance that serves callers uses them. */
export class RetainedTurns {
  readonly #cache: ChainCache;

  readonly #clients = new TurnClients();

  readonly #reader: ChainReader;

  readonly #keeper: TurnKeeper;

  constructor(options: RetainedTurnsOptions) {
    const { directory, toleratedLosses, isListCurrent, cacheBytes, logger, metrics } = options;
    this.#cache = new ChainCache(cacheBytes);
    const shared = { directory, clients: this.#clients, logger, metrics };
    this.#reader = new ChainReader({
      ...shared,
      cache: this.#cache,
      toleratedLosses,
      isListCurrent,
    });
    this.#keeper = new TurnKeeper({
      ...shared,
      requirement: {
        copies: countCopies(toleratedLosses),
        availabilityZones: toleratedLosses.availabilityZones + 1,
      },
    });
  }

  /** Whether a turn that starts now can probably be stored. */
  get isAvailable(): boolean {
    return this.#keeper.isAvailable;
  }

  /** Reads a turn and all turns before it. */
  readChain(reference: TurnReference): Promise<ChainReading> {
    return this.#reader.read(reference);
  }

  /** Stores a turn durably. */
  async keep(turn: Turn, deadlineMilliseconds: number): Promise<Result<void, KeepError>> {
    const result = await this.#keeper.keep(turn, deadlineMilliseconds);
    if (result.isOk()) this.#cache.add(turn);
    return result;
  }

  /** Closes the connections to storage instances. */
  close(): void {
    this.#clients.close();
  }
}
