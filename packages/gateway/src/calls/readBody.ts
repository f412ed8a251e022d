import type { IncomingMessage } from 'node:http';
import type { LedgerHolding } from '@limpetnotch/overload';
import { BlockPool, PieceBuffer } from '@limpetnotch/overload';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { UnfinishedReason, UnfinishedRequest } from '../ingress/unfinishedRequest';

/** Time for which reading pauses while memory is short, before requests are refused for it. */
const LONGEST_PAUSE_MILLISECONDS = 250;
const PAUSE_CHECK_MILLISECONDS = 25;

/** Why the body of a request could not be read. */
export type BodyError = 'too-large' | 'caller-gone' | UnfinishedReason;

const blocks = new BlockPool();

const declaredLengthOf = ({ headers }: IncomingMessage): number =>
  Number(headers['content-length'] ?? 0);

/** Pauses a request until its memory is accounted for, which may stop other requests or this one. */
const chargeOrPause = (request: IncomingMessage, holding: LedgerHolding, bytes: number): void => {
  if (bytes === 0 || holding.tryCharge(bytes)) return;
  request.pause();
  const startedAt = performance.now();
  const timer = setInterval(() => {
    const isOver = performance.now() - startedAt >= LONGEST_PAUSE_MILLISECONDS;
    if (isOver) holding.charge(bytes);
    else if (holding.isOpen && !holding.tryCharge(bytes)) return;
    clearInterval(timer);
    request.resume();
  }, PAUSE_CHECK_MILLISECONDS);
};

/** Reads the complete body of a request, up to a maximum size. */
export const readBody = (
  request: IncomingMessage,
  maximumBytes: number,
  unfinished?: UnfinishedRequest,
): Promise<Result<Buffer, BodyError>> =>
  new Promise((resolve) => {
    let pieces: PieceBuffer | undefined = new PieceBuffer(blocks);
    const release = (): void => {
      pieces?.release();
      pieces = undefined;
    };
    const refuse = (error: BodyError): void => {
      release();
      // The rest is discarded, so that the connection can be used again.
      request.resume();
      resolve(err(error));
    };
    if (unfinished) {
      const refusable = unfinished;
      refusable.refuse = refuse;
    }
    request.on('data', (piece: Buffer) => {
      unfinished?.recordReceived(piece.length);
      if (!pieces) return;
      const bytes = pieces.append(piece);
      if (pieces.length > maximumBytes) refuse('too-large');
      else if (unfinished) chargeOrPause(request, unfinished.holding, bytes);
    });
    if (declaredLengthOf(request) > maximumBytes) refuse('too-large');
    request.once('end', () => {
      resolve(ok(pieces?.toBuffer() ?? Buffer.alloc(0)));
      pieces = undefined;
    });
    request.once('error', () => refuse('caller-gone'));
    request.once('close', () => {
      release();
      resolve(err('caller-gone'));
    });
  });
