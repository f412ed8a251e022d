import { create } from '@bufbuild/protobuf';
import type { SliceDemand, SliceGrant } from '@limpetnotch/admission';
import type { ControlReply, ControlRequest } from '@limpetnotch/peer-protocol';
import { SliceResponseSchema } from '@limpetnotch/peer-protocol';
import type { Heartbeats } from './heartbeats';
import { toDemand, createGrantMessage } from './sliceMessages';

/** Options of {@link ControlHandler}. */
export interface ControlHandlerOptions {
  readonly heartbeats: Heartbeats;
  /** Lends slices of the organisations' rates that this instance owns. */
  readonly lendSlices: (entry: string, demands: readonly SliceDemand[]) => readonly SliceGrant[];
}

/** Handles the control messages of peers: heartbeats and demands for rate slices. */
export class ControlHandler {
  readonly #options: ControlHandlerOptions;

  constructor(options: ControlHandlerOptions) {
    this.#options = options;
  }

  /** Returns the reply to one message. */
  handle(message: ControlRequest['message']): ControlReply {
    const { heartbeats, lendSlices } = this.#options;
    switch (message.case) {
      case 'heartbeat':
        heartbeats.receive(message.value);
        return { case: 'heartbeat', value: heartbeats.createHeartbeat() };
      case 'slices': {
        const grants = lendSlices(message.value.entry, message.value.demands.map(toDemand));
        const value = create(SliceResponseSchema, { grants: grants.map(createGrantMessage) });
        return { case: 'slices', value };
      }
      case undefined:
        return { case: undefined };
      // no default
    }
  }
}
