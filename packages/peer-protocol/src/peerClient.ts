import type { Client } from '@connectrpc/connect';
import type { ResultAsync } from 'neverthrow';
import { connectPeer } from './connectPeer';
import type { PeerConnection } from './connectPeer';
import type { ControlMessage, ControlReply } from './controlStream';
import { ControlStream } from './controlStream';
import { PeerService } from './generated/limpetnotch/peer/v1/peer_pb';
import type { PeerCallError } from './peerCallError';

const CONTROL_DEADLINE_MILLISECONDS = 2_000;

type Connection = PeerConnection<typeof PeerService>;

/** Connections to one peer: one for control messages, another for calls and bulk. */
export class PeerClient {
  readonly #calls: Connection;

  readonly #control: Connection;

  readonly #controlStream: ControlStream;

  /** Takes the peer's host and port, such as `127.0.0.1:7001`. */
  constructor(address: string) {
    this.#calls = connectPeer(address, PeerService);
    this.#control = connectPeer(address, PeerService);
    this.#controlStream = new ControlStream({
      client: this.#control.client,
      deadlineMilliseconds: CONTROL_DEADLINE_MILLISECONDS,
      replaceConnection: () => this.#control.sessions.abort(),
    });
  }

  /** Client of the service for calls and other messages that are not on the control stream. */
  get service(): Client<typeof PeerService> {
    return this.#calls.client;
  }

  /** Sends a message on the control stream. */
  exchange(message: ControlMessage): ResultAsync<ControlReply, PeerCallError> {
    return this.#controlStream.exchange(message);
  }

  /** Closes both connections; what is under way fails. */
  close(): void {
    this.#controlStream.close();
    this.#control.sessions.abort();
    this.#calls.sessions.abort();
  }
}
