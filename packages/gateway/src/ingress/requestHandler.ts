import type { IncomingMessage, ServerResponse } from 'node:http';

/** Serves one request; writes the complete answer to the raw response. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Injection token of the handler; a type alone leaves no metadata for injection. */
export const REQUEST_HANDLER = Symbol('RequestHandler');
