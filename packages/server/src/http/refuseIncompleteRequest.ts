import type { ServerResponse } from 'node:http';
import type { Problem } from '../problems/problem';
import { createProblemDocument } from '../problems/problem';

const SHUTTING_DOWN: Problem = {
  problem: 'not-ready',
  executed: 'no',
  detail: 'the instance shuts down and the request has not arrived whole',
  retryAfterMilliseconds: 0,
};

/** Refuses a request whose body has not arrived completely, and closes its connection. */
export const refuseIncompleteRequest = (response: ServerResponse): void => {
  if (response.headersSent) return;
  const document = createProblemDocument(SHUTTING_DOWN);
  response.writeHead(document.status, {
    connection: 'close',
    'content-type': 'application/problem+json',
    'retry-after': '0',
  });
  response.end(JSON.stringify(document));
};
