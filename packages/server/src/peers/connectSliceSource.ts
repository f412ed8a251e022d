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
import { createDemandMessage, toGrant } from './sliceMessages';

/** Group of the organisations whose rates this instance owns. */
const LOCAL_GROUP = 'local';

/** Options of {@link ConnectSliceSource}. */
export interface ConnectSliceSourceOptions {
  /** Identifies this incarnation of the instance as an entry; grants are accounted to it. */
  readonly entry: string;
  readonly getOwnership: (partition: number) => Ownership;
  /** Lends slices of the organisations' rates that this instance owns. */
  readonly lendSlices: (entry: string, demands: readonly SliceDemand[]) => readonly SliceGrant[];
  readonly clients: PeerClients;
}

/** Sends demands for slices to the owners of the rates, over the control streams. */
export class ConnectSliceSource implements SliceSource {
  readonly #options: ConnectSliceSourceOptions;

  constructor(options: ConnectSliceSourceOptions) {
    this.#options = options;
  }

  /** Returns the group of an organisation: the address of its owner, or the local group. */
  getGroup(organisation: string): string | undefined {
    const ownership = this.#options.getOwnership(partitionOf(organisation));
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
    const { entry, lendSlices, clients } = this.#options;
    if (group === LOCAL_GROUP) return okAsync(lendSlices(entry, demands));
    const value = create(SliceRequestSchema, { entry, demands: demands.map(createDemandMessage) });
    return clients
      .to(group)
      .exchange({ case: 'slices', value })
      .mapErr(({ detail }) => ConnectSliceSource.#toUnreachableError(detail))
      .andThen((reply) =>
        reply.case === 'slices'
          ? okAsync(reply.value.grants.map(toGrant))
          : errAsync(ConnectSliceSource.#toUnreachableError('the response contains no slices')),
      );
  }

  static #toUnreachableError(reason: string): SliceSourceError {
    return { kind: 'owner-unreachable', reason };
  }
}
