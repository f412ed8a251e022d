import type { IncomingMessage } from 'node:http';

/**
 * Frees the head of a request that needs it no longer. The runtime keeps a request until its
 * response has left, which may be long after it was answered if its caller doesn't read.
 */
export const freeHead = (request: IncomingMessage): void => {
  const freed = request;
  freed.rawHeaders = [];
  freed.headers = {};
};
