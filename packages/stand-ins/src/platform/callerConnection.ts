import type { IncomingMessage } from 'node:http';
import { request as sendRequest } from 'node:http';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import type { CallerOutcome, CallerRecord, CallerRequest } from './callerRecord';
import { SingleConnectionAgent } from './singleConnectionAgent';

/** Connection timeout of the platform's callers. */
const CONNECT_MILLISECONDS = 1_000;

/**
 * Keep-alive connection to one instance; carries one request at a time until either side closes it.
 */
export class CallerConnection {
  readonly connectedAt = performance.now();

  readonly #socket: Socket;

  readonly #agent: SingleConnectionAgent;

  #isOpen = true;

  private constructor(socket: Socket) {
    this.#socket = socket;
    this.#agent = new SingleConnectionAgent(socket);
    socket.once('close', () => {
      this.#isOpen = false;
    });
    socket.on('error', () => undefined);
  }

  /** Opens a connection; resolves to undefined on failure or timeout. */
  static async open(host: string, port: number): Promise<CallerConnection | undefined> {
    const socket = connect({ host, port, noDelay: true });
    const isConnected = await new Promise<boolean>((resolve) => {
      const timer = setTimeout(() => resolve(false), CONNECT_MILLISECONDS);
      socket.once('error', () => resolve(false));
      socket.once('connect', () => resolve(true));
      socket.once('close', () => clearTimeout(timer));
      socket.once('connect', () => clearTimeout(timer));
    });
    if (isConnected) return new CallerConnection(socket);
    socket.destroy();
    return undefined;
  }

  /** Whether the connection accepts another request. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  close(): void {
    this.#isOpen = false;
    this.#socket.destroy();
  }

  /** Sends a request; always resolves, with its outcome, when the request ends. */
  send(request: CallerRequest): Promise<CallerRecord> {
    const startedAt = performance.now();
    let sentAt: number | undefined;
    return new Promise((resolve) => {
      let status: number | undefined;
      let body = '';
      const timers: NodeJS.Timeout[] = [];
      const finish = (outcome: CallerOutcome): void => {
        timers.forEach(clearTimeout);
        if (outcome.kind !== 'answered') this.close();
        const endedAt = performance.now();
        resolve({
          request,
          connectedAt: this.connectedAt,
          beganAt: startedAt,
          sentAt,
          endedAt,
          outcome,
        });
      };
      const fail = (error: Error): void => {
        finish({ kind: 'broken', status, body, detail: error.message });
      };
      const receive = (response: IncomingMessage): void => {
        status = response.statusCode ?? 0;
        const { headers } = response;
        if (headers.connection?.toLowerCase() === 'close') this.#isOpen = false;
        response.setEncoding('utf8');
        response.on('data', (text: string) => {
          body += text;
        });
        response.once('error', fail);
        response.once('end', () => {
          if (!response.complete) return;
          const signature = headers['response-signature']?.toString();
          finish({ kind: 'answered', status: status ?? 0, signature, body });
        });
      };
      const { method, path, headers } = request;
      const outgoing = sendRequest({ agent: this.#agent, method, path, headers });
      outgoing.once('error', fail);
      outgoing.once('response', receive);
      outgoing.once('finish', () => {
        sentAt = performance.now();
      });
      outgoing.end(request.body);
      const scheduleEnd = (kind: 'left' | 'given-up', milliseconds: number): void => {
        timers.push(setTimeout(() => finish({ kind, body }), milliseconds));
      };
      scheduleEnd('given-up', request.giveUpAfterMilliseconds);
      if (request.leaveAfterMilliseconds !== undefined) {
        scheduleEnd('left', request.leaveAfterMilliseconds);
      }
    });
  }
}
