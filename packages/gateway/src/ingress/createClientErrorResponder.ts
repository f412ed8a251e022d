import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';
import type { OpenConnections } from './openConnections';

/** The caller has left within a request. */
const END_WITHIN_REQUEST_CODE = 'HPE_INVALID_EOF_STATE';

const MALFORMED_STATUS = 400;

const STATUSES: ReadonlyMap<string, number> = new Map([
  ['ERR_HTTP_REQUEST_TIMEOUT', 408],
  ['HPE_HEADER_OVERFLOW', 431],
]);

/**
 * Responds to bytes that are no request, and to a head that is not complete in time. Behind a
 * request that has no response yet, a response would be taken for that of the request, and 408
 * would deny that it has run; then the connection closes once its requests have their responses.
 */
export const createClientErrorResponder =
  (connections: Pick<OpenConnections, 'closeAfterResponses' | 'hasCompleteRequest'>) =>
  (error: NodeJS.ErrnoException, socket: Socket): void => {
    if (error.code === 'ECONNRESET' || socket.destroyed) return;
    if (connections.hasCompleteRequest(socket)) {
      if (error.code === END_WITHIN_REQUEST_CODE) socket.destroy();
      else connections.closeAfterResponses(socket);
      return;
    }
    const status = STATUSES.get(error.code ?? '') ?? MALFORMED_STATUS;
    if (socket.writable) {
      const fields = 'content-length: 0\r\nconnection: close';
      socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\n${fields}\r\n\r\n`);
    }
    socket.destroy();
  };
