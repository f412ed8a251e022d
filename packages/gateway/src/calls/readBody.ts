import type { IncomingMessage } from 'node:http';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** Why the body of a request could not be read. */
export type BodyError = 'too-large' | 'caller-gone';

/** Reads the complete body of a request, up to a maximum size. */
export const readBody = (
  request: IncomingMessage,
  maximumBytes: number,
): Promise<Result<Buffer, BodyError>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length > maximumBytes) {
        request.removeAllListeners('data');
        resolve(err('too-large'));
        return;
      }
      chunks.push(chunk);
    });
    request.once('end', () => resolve(ok(Buffer.concat(chunks))));
    request.once('error', () => resolve(err('caller-gone')));
    request.once('close', () => resolve(err('caller-gone')));
  });
