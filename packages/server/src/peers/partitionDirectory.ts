import type { PeerClients } from '@limpetnotch/peer-protocol';
import type { PartitionManager } from '@limpetnotch/partitions';
import type { OwnerDirectory, OwnerRoute } from '../entry/ownerDirectory';
import type { CallOwner } from '../owner/callOwner';
import type { ProgramDesk } from '../owner/programDesk';
import { assertNever } from '../util/assertNever';

const PROGRAM_TIMEOUT_MILLISECONDS = 5_000;

/** Options of {@link PartitionDirectory}. */
export interface PartitionDirectoryOptions {
  readonly partitions: PartitionManager;
  readonly owner: CallOwner;
  readonly programs: ProgramDesk;
  readonly clients: PeerClients;
}

/** Finds the owners of partitions by what the partition manager knows. */
export class PartitionDirectory implements OwnerDirectory {
  readonly #options: PartitionDirectoryOptions;

  constructor(options: PartitionDirectoryOptions) {
    this.#options = options;
  }

  ownerOf(partition: number): OwnerRoute | undefined {
    const ownership = this.#options.partitions.ownershipOf(partition);
    switch (ownership.kind) {
      case 'local':
        return this.#local();
      case 'remote':
        return this.#remote(ownership.owner.peerAddress);
      case 'unowned':
        return undefined;
      default:
        return assertNever(ownership);
    }
  }

  async refresh(partition: number): Promise<void> {
    await this.#options.partitions.refresh(partition);
  }

  #local(): OwnerRoute {
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

  #remote(address: string): OwnerRoute {
    const { service } = this.#options.clients.to(address);
    const limits = { timeoutMs: PROGRAM_TIMEOUT_MILLISECONDS };
    return {
      run: (request) => service.runCall(request),
      cancel: (relayId) => {
        // A lost cancellation only costs the target's work: the call still ends by its deadline.
        service.cancelCall({ relayId }, limits).catch(() => undefined);
      },
      readProgram: async (request) => service.readProgram(request, limits),
      endProgram: async (request) => service.endProgram(request, limits),
    };
  }
}
