import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { EvictionCandidate, LedgerHolding } from '@limpetnotch/overload';

/** Whether a connection waits for bytes of its caller. */
export type ConnectionWait =
  /** It has sent nothing since it was opened, or since its last request. */
  | { readonly kind: 'idle' }
  /** The head of a request has begun. */
  | { readonly kind: 'head'; readonly bytes: number; readonly sinceMilliseconds: number }
  /** The body of a request has begun; bytes of it that followed the answer are discarded. */
  | { readonly kind: 'body'; readonly discardedBytes: number }
  /** Its caller has not read an answer that is complete here. */
  | { readonly kind: 'unread' }
  | { readonly kind: 'running' };

/** A connection with the progress that its caller makes. */
export class GuardedConnection implements EvictionCandidate {
  readonly socket: Socket;

  /** Responses that have not completely left this process. */
  readonly responses = new Set<ServerResponse>();

  /** Responses whose requests were passed to their handlers. */
  readonly #handled = new WeakSet<ServerResponse>();

  /** Memory of a head that is not complete yet. */
  readonly headHolding: LedgerHolding;

  hasServed = false;

  /** Whether requests that follow are ignored, since the connection closes. */
  isClosing = false;

  lastProgressMilliseconds = performance.now();

  /** Bytes read when the last request was complete. */
  #bytesAtRequestEnd = 0;

  #headSinceMilliseconds: number | undefined;

  #transferredBytes = 0;

  #lastRequest: IncomingMessage | undefined;

  /** Bytes read when the last response left; what follows of its request is discarded. */
  #bytesAtAnswer = 0;

  constructor(socket: Socket, headHolding: LedgerHolding) {
    this.socket = socket;
    this.headHolding = headHolding;
  }

  get isRunning(): boolean {
    return [...this.responses].some((response) => this.isRunningFor(response));
  }

  /** Whether a request was read completely, is with its handler and is not answered yet. */
  isRunningFor(response: ServerResponse): boolean {
    return this.#handled.has(response) && response.req.complete && !response.writableEnded;
  }

  recordHandled(response: ServerResponse): void {
    this.#handled.add(response);
  }

  /** Bytes that the caller has not read. */
  get unreadBytes(): number {
    return this.socket.writableLength;
  }

  get wait(): ConnectionWait {
    if (this.isRunning) return { kind: 'running' };
    if (this.#lastRequest && !this.#lastRequest.complete) {
      const isAnswered = this.responses.size === 0;
      const discardedBytes = isAnswered ? this.socket.bytesRead - this.#bytesAtAnswer : 0;
      return { kind: 'body', discardedBytes };
    }
    if (this.responses.size > 0) return { kind: 'unread' };
    if (this.#lastRequest && !this.#lastRequest.readableEnded) return { kind: 'idle' };
    const bytes = this.socket.bytesRead - this.#bytesAtRequestEnd;
    if (bytes <= 0) return { kind: 'idle' };
    this.#headSinceMilliseconds ??= performance.now();
    return { kind: 'head', bytes, sinceMilliseconds: this.#headSinceMilliseconds };
  }

  /** Records a request whose head is complete. */
  begin(request: IncomingMessage, response: ServerResponse): void {
    this.#headSinceMilliseconds = undefined;
    this.headHolding.release(this.headHolding.bytes);
    this.lastProgressMilliseconds = performance.now();
    this.#lastRequest = request;
    this.responses.add(response);
    response.once('close', () => {
      this.responses.delete(response);
      this.hasServed ||= response.writableFinished;
      this.#bytesAtAnswer = this.socket.bytesRead;
    });
    request.once('end', () => {
      if (this.#lastRequest === request) this.#bytesAtRequestEnd = this.socket.bytesRead;
    });
  }

  /** Records whether bytes were transferred since the last check. */
  checkProgress(): void {
    const { bytesRead, bytesWritten, writableLength } = this.socket;
    const transferred = bytesRead + bytesWritten - writableLength;
    if (transferred !== this.#transferredBytes) this.lastProgressMilliseconds = performance.now();
    this.#transferredBytes = transferred;
  }
}
