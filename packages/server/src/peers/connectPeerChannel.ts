import { create } from '@bufbuild/protobuf';
import type {
  Heartbeat,
  Member,
  PeerChannel,
  PeerError,
  TakeoverNotice,
  TakeoverReply,
  WitnessReply,
  WitnessRequest,
} from '@limpetnotch/partitions';
import type { PeerClients } from '@limpetnotch/peer-protocol';
import {
  AnnounceTakeoverRequestSchema,
  ConfirmWitnessRequestSchema,
  HeartbeatSchema,
  OfferPartitionsRequestSchema,
} from '@limpetnotch/peer-protocol';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { createMemberMessage, toMember } from './memberMessage';

const CALL_OPTIONS = { timeoutMs: 1_000 } as const;

const toUnreachableError = (error: unknown): PeerError => ({
  kind: 'unreachable',
  detail: error instanceof Error ? error.message : String(error),
});

/** Sends the messages of the partitions to other instances over Connect. */
export class ConnectPeerChannel implements PeerChannel {
  readonly #clients: PeerClients;

  constructor(clients: PeerClients) {
    this.#clients = clients;
  }

  heartbeat(peer: Member, heartbeat: Heartbeat): ResultAsync<Heartbeat, PeerError> {
    const value = create(HeartbeatSchema, {
      member: createMemberMessage(heartbeat.member),
      configurationRevision: heartbeat.configurationRevision,
      storeReachable: heartbeat.storeReachable,
    });
    const reply = this.#clients.to(peer.peerAddress).exchange({ case: 'heartbeat', value });
    return reply.andThen((message) => {
      if (message.case !== 'heartbeat' || !message.value.member) {
        return errAsync(toUnreachableError('the response is not a heartbeat'));
      }
      return okAsync({
        member: toMember(message.value.member),
        configurationRevision: message.value.configurationRevision,
        storeReachable: message.value.storeReachable,
      });
    });
  }

  confirmWitness(peer: Member, request: WitnessRequest): ResultAsync<WitnessReply, PeerError> {
    const message = create(ConfirmWitnessRequestSchema, {
      partition: request.partition,
      epoch: request.epoch,
      owner: createMemberMessage(request.owner),
      holdMilliseconds: Math.ceil(request.holdMilliseconds),
      deferredRecords: [...request.deferredRecords],
    });
    const sent = this.#clients.to(peer.peerAddress).service.confirmWitness(message, CALL_OPTIONS);
    return ResultAsync.fromPromise(sent, toUnreachableError).map(({ confirmed, newestEpoch }) =>
      confirmed ? { kind: 'confirmed' as const } : { kind: 'refused' as const, newestEpoch },
    );
  }

  announceTakeover(peer: Member, notice: TakeoverNotice): ResultAsync<TakeoverReply, PeerError> {
    const message = create(AnnounceTakeoverRequestSchema, {
      partition: notice.partition,
      epoch: notice.epoch,
      owner: createMemberMessage(notice.owner),
    });
    const sent = this.#clients.to(peer.peerAddress).service.announceTakeover(message, CALL_OPTIONS);
    return ResultAsync.fromPromise(sent, toUnreachableError).map(
      ({ heldForMilliseconds, deferredRecords }): TakeoverReply =>
        heldForMilliseconds > 0
          ? { kind: 'held', forMilliseconds: heldForMilliseconds }
          : { kind: 'noted', deferredRecords },
    );
  }

  offerPartitions(peer: Member, partitions: readonly number[]): ResultAsync<void, PeerError> {
    const message = create(OfferPartitionsRequestSchema, { partitions: [...partitions] });
    const sent = this.#clients.to(peer.peerAddress).service.offerPartitions(message, CALL_OPTIONS);
    return ResultAsync.fromPromise(sent, toUnreachableError).map(() => undefined);
  }
}
