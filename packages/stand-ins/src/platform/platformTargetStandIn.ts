import { createHash } from 'node:crypto';
import { once } from 'node:events';
import type {
  IncomingHttpHeaders,
  IncomingMessage,
  OutgoingHttpHeaders,
  Server,
  ServerResponse,
} from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { waitMilliseconds } from '../util/waitMilliseconds';
import { eventText } from './eventText';
import type { RunEnd, TargetRun } from './targetRun';

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_MISDIRECTED = 421;
const STATUS_FAILED = 500;
const STATUS_UNAVAILABLE = 503;
const STATUS_DEADLINE = 504;

/** How often a silent target looks whether it may go on. */
const SILENCE_CHECK_MILLISECONDS = 20;
/** A slow target takes this many times as long. */
const SLOW_FACTOR = 8;
/** Enough for several packets, so that an answer may be cut in its middle. */
const PLAIN_BODY_BYTES = 4_000;

/** How a target treats requests. */
export type TargetMode = 'sound' | 'hang' | 'reset' | 'slow' | 'errors';

/** Options of {@link PlatformTargetStandIn.start}. */
export interface PlatformTargetOptions {
  readonly id: string;
  readonly slots: number;
  /** Whether answers are streams of events. */
  readonly isStreaming: boolean;
  /** TCP port on 127.0.0.1; 0 lets the system choose. */
  readonly port: number;
  /** Gets every run. */
  readonly record: (run: TargetRun) => void;
  /** Called when a request crashes the target, as `crash-MILLISECONDS` in place of its work does. */
  readonly onCrash?: () => void;
}

interface OpenRun {
  readonly run: TargetRun;
  readonly response: ServerResponse;
  /** Events, and milliseconds before each; a plain answer is one step. */
  readonly steps: number;
  readonly stepMilliseconds: number;
}

const numberOf = (headers: IncomingHttpHeaders, name: string): number | undefined => {
  const text = headers[name];
  return typeof text === 'string' && text !== '' ? Number(text) : undefined;
};

/** Returns how long after its start a request crashes its target; undefined where it doesn't. */
const crashTimeOf = (url = ''): number | undefined => {
  const found = /\/crash-(\d+)$/.exec(url);
  return found ? Number(found[1]) : undefined;
};

const signatureOf = (...parts: readonly string[]): string =>
  createHash('sha256').update(parts.join(' ')).digest('hex').slice(0, 24);

/**
 * One life of a target of the platform. The last part of a request's path, such as `12x30`, says how
 * many steps it takes and how many milliseconds each; `crash-5` crashes the target after 5 ms.
 */
export class PlatformTargetStandIn {
  readonly id: string;

  mode: TargetMode = 'sound';

  /** Whether answers say that the target leaves, and close their connection. */
  isLeaving = false;

  /** When the target ended. */
  endedAt: number | undefined;

  readonly #options: PlatformTargetOptions;

  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  readonly #open = new Set<OpenRun>();

  private constructor(options: PlatformTargetOptions) {
    this.id = options.id;
    this.#options = options;
    this.#server = createServer((request, response) => {
      request.resume();
      request.once('end', () => this.#take(request, response));
    });
    this.#server.on('connection', (socket: Socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
  }

  static async start(options: PlatformTargetOptions): Promise<PlatformTargetStandIn> {
    const target = new PlatformTargetStandIn(options);
    target.#server.listen(options.port, '127.0.0.1');
    await once(target.#server, 'listening');
    return target;
  }

  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Ends the target at once; what runs is cut off. */
  async end(): Promise<void> {
    if (this.endedAt !== undefined) return;
    this.endedAt = performance.now();
    [...this.#open].forEach((open) => this.#finish(open, { kind: 'broken', cause: 'crashed' }));
    const closed = once(this.#server, 'close');
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    await closed;
  }

  #take(request: IncomingMessage, response: ServerResponse): void {
    const { headers } = request;
    const requestId = headers['request-id'];
    if (typeof requestId !== 'string') {
      this.#decline(response, STATUS_BAD_REQUEST);
      return;
    }
    const expected = headers['expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.#decline(response, STATUS_MISDIRECTED);
      return;
    }
    if (this.#open.size >= this.#options.slots) {
      this.#decline(response, STATUS_UNAVAILABLE);
      return;
    }
    const firstEvent = (numberOf(headers, 'last-event-id') ?? 0) + 1;
    const startedAt = performance.now();
    const signature = signatureOf(requestId, this.id, String(startedAt));
    const run = {
      requestId,
      targetId: this.id,
      startedAt,
      firstEvent,
      signature,
      wasSilent: false,
    };
    this.#options.record(run);
    const [steps = 1, stepMilliseconds = 0] =
      (request.url ?? '').split('/').at(-1)?.split('x') ?? [];
    const open = {
      run,
      response,
      steps: Number(steps),
      stepMilliseconds: Number(stepMilliseconds),
    };
    this.#open.add(open);
    this.#bound(open, numberOf(headers, 'deadline-milliseconds'));
    const crashTime = crashTimeOf(request.url);
    if (crashTime !== undefined) {
      setTimeout(() => this.#options.onCrash?.(), crashTime);
      return;
    }
    void (this.#options.isStreaming ? this.#stream(open) : this.#answerPlainly(open));
  }

  /** Ends a run when its connection closes or its deadline is over. */
  #bound(open: OpenRun, deadlineMilliseconds: number | undefined): void {
    const { response } = open;
    const deadline = setTimeout(() => {
      if (!response.headersSent) {
        this.#answer(open, STATUS_DEADLINE, 'the deadline is over');
        return;
      }
      this.#finish(open, { kind: 'broken', cause: 'deadline' });
      response.destroy();
    }, deadlineMilliseconds ?? 60_000);
    response.once('close', () => {
      clearTimeout(deadline);
      this.#finish(open, { kind: 'cancelled' });
    });
  }

  async #answerPlainly(open: OpenRun): Promise<void> {
    if (!(await this.#passStep(open))) return;
    const { requestId, signature } = open.run;
    const isFailing = this.mode === 'errors';
    const body = `${requestId} ${signature} `.padEnd(PLAIN_BODY_BYTES, isFailing ? 'e' : 'b');
    this.#answer(open, isFailing ? STATUS_FAILED : STATUS_OK, body);
  }

  async #stream(open: OpenRun): Promise<void> {
    const { run, response, steps } = open;
    if (this.mode === 'errors') {
      this.#answer(open, STATUS_FAILED, 'failed');
      return;
    }
    let body = '';
    for (let event = run.firstEvent; event <= steps; event += 1) {
      if (!(await this.#passStep(open))) return;
      if (!response.headersSent) {
        response.writeHead(STATUS_OK, this.#headers(run, { 'content-type': 'text/event-stream' }));
      }
      const text = eventText(run.requestId, event, event);
      body += text;
      response.write(text);
    }
    if (!response.headersSent) response.writeHead(STATUS_OK, this.#headers(run, {}));
    this.#finish(open, { kind: 'answered', status: STATUS_OK, body });
    response.end();
  }

  /** Waits for one step; returns whether the run goes on. */
  async #passStep(open: OpenRun): Promise<boolean> {
    const { run, response, stepMilliseconds } = open;
    await waitMilliseconds(stepMilliseconds * (this.mode === 'slow' ? SLOW_FACTOR : 1));
    while (this.mode === 'hang' && this.#open.has(open)) {
      run.wasSilent = true;
      await waitMilliseconds(SILENCE_CHECK_MILLISECONDS);
    }
    if (this.mode === 'reset' && this.#open.has(open)) {
      this.#finish(open, { kind: 'broken', cause: 'reset' });
      response.socket?.resetAndDestroy();
    }
    return this.#open.has(open);
  }

  #answer(open: OpenRun, status: number, body: string): void {
    if (!this.#open.has(open)) return;
    this.#finish(open, { kind: 'answered', status, body });
    open.response.writeHead(
      status,
      this.#headers(open.run, { 'content-length': String(body.length) }),
    );
    open.response.end(body);
  }

  #headers({ requestId, signature }: TargetRun, more: Record<string, string>): OutgoingHttpHeaders {
    return {
      ...more,
      ...(this.isLeaving ? { connection: 'close', 'server-leaving': '1' } : {}),
      'request-id': requestId,
      'response-signature': signature,
      'server-load': this.#load,
    };
  }

  get #load(): string {
    return `${this.#open.size},0,${this.#options.slots}`;
  }

  #decline(response: ServerResponse, status: number): void {
    const requestId = response.req.headers['request-id'];
    response.writeHead(status, {
      ...(requestId === undefined ? {} : { 'request-id': requestId }),
      'content-length': 0,
      'not-executed': '1',
      'server-load': this.#load,
    });
    response.end();
  }

  #finish(open: OpenRun, end: RunEnd): void {
    if (!this.#open.delete(open)) return;
    Object.assign(open.run, { end, endedAt: performance.now() });
  }
}
