import { once } from 'node:events';
import { Agent, request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** Outcome of one request as its caller sees it. */
export type CallerOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: IncomingMessage['headers'];
      readonly body: string;
    }
  /** The head arrived, and the connection ended before the rest. */
  | { readonly kind: 'cut-in-answer' }
  /** The connection could not be opened. */
  | { readonly kind: 'not-connected' }
  /** The connection ended without a response. */
  | { readonly kind: 'no-answer' };

/** Fields of a request that a test sets. */
export interface CallerRequest {
  readonly id: string;
  readonly patienceMilliseconds?: number;
  readonly method?: string;
  readonly body?: string;
  readonly key?: string;
}

/** One keep-alive connection of a caller for many requests; it is reopened if it was closed. */
export class KeepAliveConnection {
  readonly #port: number;

  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });

  #socket: Socket | undefined;

  constructor(port: number) {
    this.#port = port;
  }

  /** Socket of the last request. */
  get socket(): Socket | undefined {
    return this.#socket;
  }

  /** Sends the head and the body; the test reads the response. */
  begin({
    id,
    patienceMilliseconds,
    method = 'POST',
    body = 'x',
    key,
  }: CallerRequest): ClientRequest {
    const request = httpRequest({
      host: '127.0.0.1',
      port: this.#port,
      agent: this.#agent,
      method,
      headers: {
        host: 'h',
        'x-id': id,
        ...(key !== undefined && { 'x-key': key }),
        ...(patienceMilliseconds !== undefined && { 'x-patience': String(patienceMilliseconds) }),
      },
    });
    request.on('error', () => undefined);
    request.once('socket', (socket) => {
      this.#socket = socket;
    });
    request.end(body);
    return request;
  }

  /** Sends one request and reads its response. */
  async send(options: CallerRequest): Promise<CallerOutcome> {
    return KeepAliveConnection.readOutcome(this.begin(options));
  }

  close(): void {
    this.#agent.destroy();
  }

  /** Reads the response to a request. */
  static async readOutcome(request: ClientRequest): Promise<CallerOutcome> {
    let answer: IncomingMessage;
    try {
      [answer] = (await once(request, 'response')) as [IncomingMessage];
    } catch (error) {
      const isRefused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
      return { kind: isRefused ? 'not-connected' : 'no-answer' };
    }
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of answer) chunks.push(chunk as Buffer);
    } catch {
      return { kind: 'cut-in-answer' };
    }
    const { statusCode = 0, headers } = answer;
    return {
      kind: 'answered',
      status: statusCode,
      headers,
      body: Buffer.concat(chunks).toString(),
    };
  }
}
