import type { IncomingMessage } from 'node:http';
import { Code, ConnectError } from '@connectrpc/connect';

/** Maximum size of a message; the largest ones list the budgets of 20,000 programs. */
const MAXIMUM_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Collects the body of a message; rejects if it is too large or breaks off. */
export const collectBytes = (incoming: IncomingMessage): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    incoming.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      chunks.push(chunk);
      if (bytes <= MAXIMUM_MESSAGE_BYTES) return;
      reject(new ConnectError('the message is too large', Code.ResourceExhausted));
      incoming.destroy();
    });
    incoming.once('end', () => resolve(Buffer.concat(chunks)));
    incoming.on('error', reject);
    incoming.once('close', () => {
      // An error object is costly, and most messages are complete.
      if (!incoming.complete) reject(new ConnectError('the message broke off', Code.Aborted));
    });
  });
