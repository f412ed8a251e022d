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
import type { ProgramService } from '../owner/programService';
import type { ControlHandler } from './controlHandler';
import type { WitnessHandler } from './witnessHandler';

/** Components that the handlers of the peer service call. */
export interface PeerHandlerOptions {
  readonly owner: CallOwner;
  readonly programs: ProgramService;
  readonly control: ControlHandler;
  readonly witness: WitnessHandler;
  /** Returns a value of the configuration in force by its key. */
  readonly getConfigurationValue: (key: string) => string | undefined;
}

/** Creates the handlers of the peer service. */
export const createPeerHandlers = (
  options: PeerHandlerOptions,
): ServiceImpl<typeof PeerService> => ({
  async *runCall(request: RunCallRequest, context: HandlerContext): AsyncIterable<RunCallEvent> {
    const answer = options.owner.run(request);
    // The entry has disconnected: the call continues, but its events are not read.
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
      yield create(ControlResponseSchema, { id, message: options.control.handle(message) });
    }
  },
  confirmWitness: async (request) =>
    create(ConfirmWitnessResponseSchema, await options.witness.confirm(request)),
  announceTakeover: async (request) =>
    create(AnnounceTakeoverResponseSchema, await options.witness.announceTakeover(request)),
  offerPartitions({ partitions }) {
    options.witness.offerPartitions(partitions);
    return create(OfferPartitionsResponseSchema);
  },
  readConfigurationChunk({ key }) {
    const value = options.getConfigurationValue(key);
    return create(ReadConfigurationChunkResponseSchema, value === undefined ? {} : { value });
  },
});
