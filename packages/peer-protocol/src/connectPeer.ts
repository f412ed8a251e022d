import type { DescService } from '@bufbuild/protobuf';
import type { Client } from '@connectrpc/connect';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';

const PING_INTERVAL_MILLISECONDS = 1_000;
const PING_TIMEOUT_MILLISECONDS = 3_000;
const MAXIMUM_MESSAGE_BYTES = 32 * 1024 * 1024;

/** One HTTP/2 connection to a peer and a client of one service on it. */
export interface PeerConnection<Service extends DescService> {
  readonly client: Client<Service>;
  readonly sessions: Http2SessionManager;
}

/** Connects to a peer's host and port; the connection is made at the first call. */
export const connectPeer = <Service extends DescService>(
  address: string,
  service: Service,
): PeerConnection<Service> => {
  const baseUrl = `http://${address}`;
  // Idle connections are not pinged: the manager would ping them after an abort, which throws.
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
  return { client: createClient(service, transport), sessions };
};
