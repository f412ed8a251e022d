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
import { toMember } from './memberMessage';

/** Witness operations of the partitions that peers may request. */
export interface Witness {
  confirmWitness(request: WitnessRequest): WitnessReply | Promise<WitnessReply>;
  announceTakeover(notice: TakeoverNotice): TakeoverReply | Promise<TakeoverReply>;
  offerPartitions(partitions: readonly number[]): void;
}

const UNKNOWN_MEMBER: Member = {
  instance: '',
  incarnation: '',
  peerAddress: '',
  availabilityZone: '',
  leaving: false,
};

const toOwner = (message: MemberMessage | undefined): Member =>
  message ? toMember(message) : UNKNOWN_MEMBER;

/** Handles the requests of owners and claimers of partitions to this instance as a witness. */
export class WitnessHandler {
  readonly #witness: Witness;

  constructor(witness: Witness) {
    this.#witness = witness;
  }

  /** Confirms or refuses an owner whose lease may have expired. */
  async confirm(
    request: ConfirmWitnessRequest,
  ): Promise<{ readonly confirmed: boolean; readonly newestEpoch: number }> {
    const reply = await this.#witness.confirmWitness({
      partition: request.partition,
      epoch: request.epoch,
      owner: toOwner(request.owner),
      holdMilliseconds: request.holdMilliseconds,
      deferredRecords: request.deferredRecords,
    });
    return reply.kind === 'confirmed'
      ? { confirmed: true, newestEpoch: request.epoch }
      : { confirmed: false, newestEpoch: reply.newestEpoch };
  }

  /** Records a new owner. */
  async announceTakeover(
    request: AnnounceTakeoverRequest,
  ): Promise<{ readonly heldForMilliseconds: number; readonly deferredRecords: string[] }> {
    const reply = await this.#witness.announceTakeover({
      partition: request.partition,
      epoch: request.epoch,
      owner: toOwner(request.owner),
    });
    return reply.kind === 'held'
      ? { heldForMilliseconds: Math.ceil(reply.forMilliseconds), deferredRecords: [] }
      : { heldForMilliseconds: 0, deferredRecords: [...reply.deferredRecords] };
  }

  /** Forwards an offer of partitions that their owner releases. */
  offerPartitions(partitions: readonly number[]): void {
    this.#witness.offerPartitions(partitions);
  }
}
