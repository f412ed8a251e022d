import type { ServerResponse } from 'node:http';

/** Whether the end of an answer's body is nothing but the end of its connection. */
const endsWithConnection = ({ headersSent, req }: ServerResponse): boolean =>
  headersSent && req.httpVersionMajor === 1 && req.httpVersionMinor === 0;

/**
 * Closes the connection of an answer that stays incomplete, so that its caller can tell. Where the
 * body ends with its connection, only a reset shows that the rest is missing; elsewhere a reset
 * would take events along that are on their way.
 */
export const cutConnection = (response: ServerResponse): void => {
  const { socket } = response;
  if (socket && endsWithConnection(response)) socket.resetAndDestroy();
  else response.destroy();
};
