import type { PeerClients } from '@limpetnotch/peer-protocol';
import type { PartitionManager } from '@limpetnotch/partitions';
import type { OwnerDirectory, OwnerClient } from '../entry/ownerDirectory';
import type { CallOwner } from '../owner/callOwner';
import type { ProgramService } from '../owner/programService';
import { assertNever } from '../util/assertNever';

const PROGRAM_TIMEOUT_MILLISECONDS = 5_000;

/** Options of {@link PartitionDirectory}. */
export interface PartitionDirectoryOptions {
  readonly partitions: PartitionManager;
  readonly owner: CallOwner;
  readonly programs: ProgramService;
  readonly clients: PeerClients;
}

/** Finds the owners of partitions through the partition manager. */
export class PartitionDirectory implements OwnerDirectory {
  readonly #options: PartitionDirectoryOptions;

  constructor(options: PartitionDirectoryOptions) {
    this.#options = options;
  }

  getOwner(partition: number): OwnerClient | undefined {
    const ownership = this.#options.partitions.ownershipOf(partition);
    switch (ownership.kind) {
      case 'local':
        return this.#createLocalOwner();
      case 'remote':
        return this.#createRemoteOwner(ownership.owner.peerAddress);
      case 'unowned':
        return undefined;
      default:
        return assertNever(ownership);
    }
  }

  async refresh(partition: number): Promise<void> {
    await this.#options.partitions.refresh(partition);
  }

  #createLocalOwner(): OwnerClient {
    const { owner, programs } = this.#options;
    return {
      run: (request) => owner.run(request),
      cancel: (relayId) => {
        owner.cancel(relayId);
      },
      readProgram: async (request) => Promise.resolve(programs.read(request)),
      endProgram: async (request) => programs.end(request),
    };
  }

  #createRemoteOwner(address: string): OwnerClient {
    const { service } = this.#options.clients.to(address);
    const callOptions = { timeoutMs: PROGRAM_TIMEOUT_MILLISECONDS };
    return {
      run: (request) => service.runCall(request),
      cancel: (relayId) => {
        // A lost cancellation only wastes work of the target: the call still ends at its deadline.
        service.cancelCall({ relayId }, callOptions).catch(() => undefined);
      },
      readProgram: async (request) => service.readProgram(request, callOptions),
      endProgram: async (request) => service.endProgram(request, callOptions),
    };
  }
}
