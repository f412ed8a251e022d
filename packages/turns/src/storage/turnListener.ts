import { once } from 'node:events';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { ServiceImpl } from '@connectrpc/connect';
import type { Metrics } from '@limpetnotch/observability';
import { createUnaryListener, TurnService } from '@limpetnotch/peer-protocol';
import { ByteBudget } from './byteBudget';

const BYTES_PER_MEGABYTE = 1024 * 1024;

/** Bytes of requests and responses held at the same time: a fourth of the smallest machine. */
const HELD_BYTES = 48 * BYTES_PER_MEGABYTE;

/** Largest request: a turn has up to 4 MB of input and the output. */
const REQUEST_BYTES = 8 * BYTES_PER_MEGABYTE;

/** Bytes reserved for a response that contains turns. */
const RESPONSE_BYTES = 4 * BYTES_PER_MEGABYTE;

const OTHER_RESPONSE_BYTES = 0.25 * BYTES_PER_MEGABYTE;

const WAITERS = 256;

/** Longest wait for room; an entry instance uses another storage instance much sooner. */
const WAIT_MILLISECONDS = 1_000;

/** Connections, of two from each of the largest number of entry instances and from tools. */
const CONNECTIONS = 512;

/** Time without any byte after which a connection is closed. */
const IDLE_MILLISECONDS = 10_000;

/** Longest times in which the head of a request, and all of it, arrive. */
const SERVER_OPTIONS = { headersTimeout: 3_000, requestTimeout: 10_000 };

const LENGTH_REQUIRED = 411;
const PAYLOAD_TOO_LARGE = 413;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

const READING_METHODS = new Set(
  [TurnService.method.readChain, TurnService.method.readTurns].map(
    ({ name }) => `/${TurnService.typeName}/${name}`,
  ),
);

/** Options of {@link TurnListener.start}. */
export interface TurnListenerOptions {
  readonly host: string;
  /** TCP port; 0 lets the system choose. */
  readonly port: number;
  readonly implementation: ServiceImpl<typeof TurnService>;
  readonly metrics: Metrics;
}

const refuse = (request: IncomingMessage, response: ServerResponse, status: number): void => {
  // The body is not read, so the connection can't be used again.
  response.writeHead(status, { connection: 'close', 'content-length': 0 }).end();
  response.once('finish', () => request.destroy());
};

/** Returns the bytes that a call holds, or the status with which it is refused. */
const computeHeldBytes = (
  request: IncomingMessage,
): { readonly bytes: number } | { readonly refusal: number } => {
  const length = Number(request.headers['content-length'] ?? NaN);
  if (!Number.isInteger(length) || length < 0) return { refusal: LENGTH_REQUIRED };
  if (length > REQUEST_BYTES) return { refusal: PAYLOAD_TOO_LARGE };
  const isReading = READING_METHODS.has(request.url ?? '');
  return { bytes: length + (isReading ? RESPONSE_BYTES : OTHER_RESPONSE_BYTES) };
};

/** HTTP server of the service of turns, which bounds the memory that calls hold. */
export class TurnListener {
  readonly #server: Server;

  readonly #budget = new ByteBudget({
    bytes: HELD_BYTES,
    waiters: WAITERS,
    waitMilliseconds: WAIT_MILLISECONDS,
  });

  readonly #metrics: Metrics;

  readonly #serve: RequestListener;

  private constructor({ implementation, metrics }: TurnListenerOptions) {
    this.#metrics = metrics;
    this.#serve = createUnaryListener({
      service: TurnService,
      implementation,
      fallback: (request, response) => refuse(request, response, NOT_FOUND),
    });
    this.#server = createServer(SERVER_OPTIONS, (request, response) => {
      void this.#admit(request, response);
    });
    this.#server.maxConnections = CONNECTIONS;
    this.#server.keepAliveTimeout = IDLE_MILLISECONDS;
    this.#server.setTimeout(IDLE_MILLISECONDS);
  }

  /** Starts to listen; rejects if the port is in use. */
  static async start(options: TurnListenerOptions): Promise<TurnListener> {
    const listener = new TurnListener(options);
    listener.#server.listen(options.port, options.host);
    await once(listener.#server, 'listening');
    return listener;
  }

  /** TCP port on which the server listens. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Stops listening; waits for running calls up to a number of milliseconds. */
  async close(milliseconds: number): Promise<void> {
    const closed = new Promise((resolve) => {
      this.#server.close(resolve);
    });
    this.#server.closeIdleConnections();
    const timer = setTimeout(() => this.#server.closeAllConnections(), milliseconds);
    await closed;
    clearTimeout(timer);
  }

  async #admit(request: IncomingMessage, response: ServerResponse): Promise<void> {
    // A broken connection ends the call; an unhandled `error` event would end the process.
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    const held = computeHeldBytes(request);
    if ('refusal' in held) {
      refuse(request, response, held.refusal);
      return;
    }
    if (!(await this.#budget.acquire(held.bytes))) {
      this.#metrics.increment('storage.calls-refused');
      refuse(request, response, UNAVAILABLE);
      return;
    }
    if (response.closed) {
      this.#budget.release(held.bytes);
      return;
    }
    response.once('close', () => this.#budget.release(held.bytes));
    this.#serve(request, response);
  }
}
