import type {
  Member,
  TakeoverNotice,
  TakeoverReply,
  WitnessReply,
  WitnessRequest,
} from '@limpetnotch/partitions';
import type {
  AnnounceTakeoverRequest,
  ConfirmWitnessRequest,
  Member as MemberMessage,
} from '@limpetnotch/peer-protocol';
import { memberOfMessage } from './memberMessage';

/** The witness side of the partitions, as peers call it. */
export interface WitnessSide {
  confirmWitness(request: WitnessRequest): WitnessReply | Promise<WitnessReply>;
  announceTakeover(notice: TakeoverNotice): TakeoverReply | Promise<TakeoverReply>;
  offerPartitions(partitions: readonly number[]): void;
}

const NOBODY: Member = {
  instance: '',
  incarnation: '',
  peerAddress: '',
  availabilityZone: '',
  leaving: false,
};

const ownerOf = (message: MemberMessage | undefined): Member =>
  message ? memberOfMessage(message) : NOBODY;

/** Answers the owners and claimers of partitions that ask this instance as a witness. */
export class WitnessDesk {
  readonly #side: WitnessSide;

  constructor(side: WitnessSide) {
    this.#side = side;
  }

  /** Answers an owner whose lease may have lapsed. */
  async confirm(
    request: ConfirmWitnessRequest,
  ): Promise<{ readonly confirmed: boolean; readonly newestEpoch: number }> {
    const reply = await this.#side.confirmWitness({
      partition: request.partition,
      epoch: request.epoch,
      owner: ownerOf(request.owner),
      holdMilliseconds: request.holdMilliseconds,
      deferredRecords: request.deferredRecords,
    });
    return reply.kind === 'confirmed'
      ? { confirmed: true, newestEpoch: request.epoch }
      : { confirmed: false, newestEpoch: reply.newestEpoch };
  }

  /** Takes note of a new owner. */
  async announceTakeover(
    request: AnnounceTakeoverRequest,
  ): Promise<{ readonly heldForMilliseconds: number; readonly deferredRecords: string[] }> {
    const reply = await this.#side.announceTakeover({
      partition: request.partition,
      epoch: request.epoch,
      owner: ownerOf(request.owner),
    });
    return reply.kind === 'held'
      ? { heldForMilliseconds: Math.ceil(reply.forMilliseconds), deferredRecords: [] }
      : { heldForMilliseconds: 0, deferredRecords: [...reply.deferredRecords] };
  }

  /** Passes on an offer of partitions that their owner gives up. */
  offer(partitions: readonly number[]): void {
    this.#side.offerPartitions(partitions);
  }
}
