import type { Socket } from 'node:net';

/** Part of the runtime's parser that is told of each request; not documented. */
interface RequestParser {
  onIncoming?: (request: unknown, shouldKeepAlive: boolean) => number;
}

const parserOf = (socket: Socket): RequestParser | undefined =>
  (socket as Socket & { readonly parser?: RequestParser | null }).parser ?? undefined;

/**
 * Ends the reading of a connection. The runtime parses all requests of one read, about a thousand
 * small ones, and keeps several kilobytes for each until the connection is closed, even if it is
 * paused or destroyed at the first of them; therefore its parser is detached.
 */
export const ignoreFurtherRequests = (socket: Socket): void => {
  const parser = parserOf(socket);
  if (parser?.onIncoming) parser.onIncoming = () => 0;
  // The requests that were read already resume it.
  socket.on('resume', () => socket.pause());
  socket.pause();
};
