import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { ignoreFurtherRequests } from './ignoreFurtherRequests';

/** Reads nothing more from a connection, and closes it once its responses leave it done. */
export const closeOnceDone = (
  socket: Socket,
  responses: Iterable<ServerResponse>,
  isDone: () => boolean,
): void => {
  ignoreFurtherRequests(socket);
  const closeIfDone = (): void => {
    if (isDone()) socket.destroy();
  };
  [...responses].forEach((response) => response.once('close', closeIfDone));
  closeIfDone();
};
