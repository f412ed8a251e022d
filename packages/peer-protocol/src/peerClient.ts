import type { Client } from '@connectrpc/connect';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';
import type { ResultAsync } from 'neverthrow';
import type { ControlMessage, ControlReply } from './controlStream';
import { ControlStream } from './controlStream';
import { PeerService } from './generated/limpetnotch/peer/v1/peer_pb';
import type { PeerCallError } from './peerCallError';

const PING_INTERVAL_MILLISECONDS = 1_000;
const PING_TIMEOUT_MILLISECONDS = 3_000;
const CONTROL_DEADLINE_MILLISECONDS = 2_000;
const MAXIMUM_MESSAGE_BYTES = 32 * 1024 * 1024;

interface Connection {
  readonly client: Client<typeof PeerService>;
  readonly sessions: Http2SessionManager;
}

/** Connections to one peer: one for control messages, another for calls and bulk transfers. */
export class PeerClient {
  readonly #address: string;

  readonly #calls: Connection;

  readonly #control: Connection;

  readonly #controlStream: ControlStream;

  /** Creates the client of a peer from its host and port, such as `127.0.0.1:7001`. */
  constructor(address: string) {
    this.#address = address;
    this.#calls = this.#connect();
    this.#control = this.#connect();
    this.#controlStream = new ControlStream({
      client: this.#control.client,
      deadlineMilliseconds: CONTROL_DEADLINE_MILLISECONDS,
      replaceConnection: () => this.#control.sessions.abort(),
    });
  }

  /** Client of the service for calls and other messages that do not use the control stream. */
  get service(): Client<typeof PeerService> {
    return this.#calls.client;
  }

  /** Sends a message on the control stream. */
  exchange(message: ControlMessage): ResultAsync<ControlReply, PeerCallError> {
    return this.#controlStream.exchange(message);
  }

  /** Closes both connections; calls and messages in progress fail. */
  close(): void {
    this.#controlStream.close();
    this.#control.sessions.abort();
    this.#calls.sessions.abort();
  }

  #connect(): Connection {
    const baseUrl = `http://${this.#address}`;
    // Pings of idle connections stay disabled: the manager would send one after an abort, which
    // throws.
    const sessions = new Http2SessionManager(baseUrl, {
      pingIntervalMs: PING_INTERVAL_MILLISECONDS,
      pingTimeoutMs: PING_TIMEOUT_MILLISECONDS,
    });
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: sessions,
      acceptCompression: [],
      readMaxBytes: MAXIMUM_MESSAGE_BYTES,
    });
    return { client: createClient(PeerService, transport), sessions };
  }
}
