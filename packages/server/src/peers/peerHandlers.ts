import { create } from '@bufbuild/protobuf';
import type { HandlerContext, ServiceImpl } from '@connectrpc/connect';
import type {
  ControlRequest,
  ControlResponse,
  PeerService,
  RunCallEvent,
  RunCallRequest,
} from '@limpetnotch/peer-protocol';
import {
  AnnounceTakeoverResponseSchema,
  CancelCallResponseSchema,
  ConfirmWitnessResponseSchema,
  ControlResponseSchema,
  OfferPartitionsResponseSchema,
  ReadConfigurationChunkResponseSchema,
} from '@limpetnotch/peer-protocol';
import type { CallOwner } from '../owner/callOwner';
import type { ProgramDesk } from '../owner/programDesk';
import type { ControlDesk } from './controlDesk';
import type { WitnessDesk } from './witnessDesk';

/** What the handlers of the peer service call. */
export interface PeerHandlerOptions {
  readonly owner: CallOwner;
  readonly programs: ProgramDesk;
  readonly control: ControlDesk;
  readonly witness: WitnessDesk;
  /** Returns a value of the configuration in force by its key. */
  readonly configurationValue: (key: string) => string | undefined;
}

/** Builds the handlers of the peer service. */
export const peerHandlers = (options: PeerHandlerOptions): ServiceImpl<typeof PeerService> => ({
  async *runCall(request: RunCallRequest, context: HandlerContext): AsyncIterable<RunCallEvent> {
    const answer = options.owner.run(request);
    // The entry is gone: the call goes on, but nobody reads its events.
    context.signal.addEventListener('abort', () => answer.detach(), { once: true });
    yield* answer;
  },
  cancelCall({ relayId }) {
    return create(CancelCallResponseSchema, { found: options.owner.cancel(relayId) });
  },
  readProgram: (request) => options.programs.read(request),
  endProgram: async (request) => options.programs.end(request),
  async *control(
    requests: AsyncIterable<ControlRequest>,
    context: HandlerContext,
  ): AsyncIterable<ControlResponse> {
    for await (const { id, message } of requests) {
      if (context.signal.aborted) return;
      yield create(ControlResponseSchema, { id, message: options.control.answer(message) });
    }
  },
  confirmWitness: async (request) =>
    create(ConfirmWitnessResponseSchema, await options.witness.confirm(request)),
  announceTakeover: async (request) =>
    create(AnnounceTakeoverResponseSchema, await options.witness.announceTakeover(request)),
  offerPartitions({ partitions }) {
    options.witness.offer(partitions);
    return create(OfferPartitionsResponseSchema);
  },
  readConfigurationChunk({ key }) {
    const value = options.configurationValue(key);
    return create(ReadConfigurationChunkResponseSchema, value === undefined ? {} : { value });
  },
});
