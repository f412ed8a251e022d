import { create } from '@bufbuild/protobuf';
import type { SliceDemand, SliceGrant } from '@limpetnotch/admission';
import { partitionOf } from '@limpetnotch/partitions';
import type {
  ControlReply,
  ControlRequest,
  SliceRequest,
  SliceResponse,
} from '@limpetnotch/peer-protocol';
import { SliceGrantSchema, SliceResponseSchema } from '@limpetnotch/peer-protocol';
import type { OwnedPartition } from '../owner/ownedPartition';
import type { Heartbeats } from './heartbeats';

/** Options of {@link ControlDesk}. */
export interface ControlDeskOptions {
  readonly heartbeats: Heartbeats;
  /** Returns a partition that this instance owns, `undefined` for all others. */
  readonly partition: (partition: number) => OwnedPartition | undefined;
}

/** Answers the control messages of peers: heartbeats and demands for rate slices. */
export class ControlDesk {
  readonly #options: ControlDeskOptions;

  constructor(options: ControlDeskOptions) {
    this.#options = options;
  }

  /** Returns the answer to one message. */
  answer(message: ControlRequest['message']): ControlReply {
    switch (message.case) {
      case 'heartbeat':
        this.#options.heartbeats.take(message.value);
        return { case: 'heartbeat', value: this.#options.heartbeats.own() };
      case 'slices':
        return { case: 'slices', value: this.#lend(message.value) };
      case undefined:
        return { case: undefined };
      // no default
    }
  }

  /** Lends slices of the organisations' rates that this instance owns. */
  lend(_entry: string, demands: readonly SliceDemand[]): readonly SliceGrant[] {
    return demands.flatMap((demand) => {
      const owned = this.#options.partition(partitionOf(demand.organisation));
      return owned ? [] : [];
    });
  }

  #lend({ entry, demands }: SliceRequest): SliceResponse {
    const grants = this.lend(entry, demands);
    const granted = new Set(grants.map(({ organisation }) => organisation));
    return create(SliceResponseSchema, {
      grants: grants.map((grant) => create(SliceGrantSchema, grant)),
      notOwned: demands
        .map(({ organisation }) => organisation)
        .filter((organisation) => !granted.has(organisation)),
    });
  }
}
