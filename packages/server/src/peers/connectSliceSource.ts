import { create } from '@bufbuild/protobuf';
import type {
  SliceDemand,
  SliceGrant,
  SliceSource,
  SliceSourceError,
} from '@limpetnotch/admission';
import { partitionOf } from '@limpetnotch/partitions';
import type { Ownership } from '@limpetnotch/partitions';
import type { PeerClients } from '@limpetnotch/peer-protocol';
import { SliceRequestSchema } from '@limpetnotch/peer-protocol';
import { errAsync, okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';
import { demandMessage, grantOfMessage } from './sliceMessages';

/** Group of the organisations whose rates this instance owns. */
const LOCAL_GROUP = 'local';

/** Options of {@link ConnectSliceSource}. */
export interface ConnectSliceSourceOptions {
  /** Names this start of the instance as an entry; grants are settled by it. */
  readonly entry: string;
  readonly ownershipOf: (partition: number) => Ownership;
  /** Lends slices of the organisations' rates that this instance owns. */
  readonly lend: (entry: string, demands: readonly SliceDemand[]) => readonly SliceGrant[];
  readonly clients: PeerClients;
}

/** Carries demands for slices to the owners of the rates, over the control streams. */
export class ConnectSliceSource implements SliceSource {
  readonly #options: ConnectSliceSourceOptions;

  constructor(options: ConnectSliceSourceOptions) {
    this.#options = options;
  }

  /** Returns the group of an organisation: where its owner is reached. */
  groupOf(organisation: string): string | undefined {
    const ownership = this.#options.ownershipOf(partitionOf(organisation));
    switch (ownership.kind) {
      case 'local':
        return LOCAL_GROUP;
      case 'remote':
        return ownership.owner.peerAddress;
      case 'unowned':
        return undefined;
      // no default
    }
  }

  exchange(
    group: string,
    demands: readonly SliceDemand[],
  ): ResultAsync<readonly SliceGrant[], SliceSourceError> {
    const { entry, lend, clients } = this.#options;
    if (group === LOCAL_GROUP) return okAsync(lend(entry, demands));
    const value = create(SliceRequestSchema, { entry, demands: demands.map(demandMessage) });
    return clients
      .to(group)
      .exchange({ case: 'slices', value })
      .mapErr(({ detail }) => ConnectSliceSource.#unreachable(detail))
      .andThen((reply) =>
        reply.case === 'slices'
          ? okAsync(reply.value.grants.map(grantOfMessage))
          : errAsync(ConnectSliceSource.#unreachable('the answer has no slices')),
      );
  }

  static #unreachable(reason: string): SliceSourceError {
    return { kind: 'owner-unreachable', reason };
  }
}
