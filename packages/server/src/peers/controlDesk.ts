import { create } from '@bufbuild/protobuf';
import type { SliceDemand, SliceGrant } from '@limpetnotch/admission';
import type { ControlReply, ControlRequest } from '@limpetnotch/peer-protocol';
import { SliceResponseSchema } from '@limpetnotch/peer-protocol';
import type { Heartbeats } from './heartbeats';
import { demandOfMessage, grantMessage } from './sliceMessages';

/** Options of {@link ControlDesk}. */
export interface ControlDeskOptions {
  readonly heartbeats: Heartbeats;
  /** Lends slices of the organisations' rates that this instance owns. */
  readonly lend: (entry: string, demands: readonly SliceDemand[]) => readonly SliceGrant[];
}

/** Answers the control messages of peers: heartbeats and demands for rate slices. */
export class ControlDesk {
  readonly #options: ControlDeskOptions;

  constructor(options: ControlDeskOptions) {
    this.#options = options;
  }

  /** Returns the answer to one message. */
  answer(message: ControlRequest['message']): ControlReply {
    const { heartbeats, lend } = this.#options;
    switch (message.case) {
      case 'heartbeat':
        heartbeats.take(message.value);
        return { case: 'heartbeat', value: heartbeats.own() };
      case 'slices': {
        const grants = lend(message.value.entry, message.value.demands.map(demandOfMessage));
        const value = create(SliceResponseSchema, { grants: grants.map(grantMessage) });
        return { case: 'slices', value };
      }
      case undefined:
        return { case: undefined };
      // no default
    }
  }
}
