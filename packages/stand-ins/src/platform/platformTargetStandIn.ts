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
import { LimitHistory } from './limitHistory';
import type { RunEnd, TargetRun } from './targetRun';

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_MISDIRECTED = 421;
const STATUS_FAILED = 500;
const STATUS_UNAVAILABLE = 503;
const STATUS_DEADLINE = 504;

/** Interval at which a hanging run checks whether it may continue. */
const SILENCE_CHECK_MILLISECONDS = 20;
/** Factor by which a slow target multiplies the time of each step. */
const SLOW_FACTOR = 8;
const EVENT_STREAM_HEADERS = { 'content-type': 'text/event-stream' } as const;
/** Large enough for several packets, so that a response can be cut off in the middle. */
const PLAIN_BODY_BYTES = 4_000;

/**
 * How a target handles requests: without faults, or with the fault that the mode names. In the mode
 * `refusals`, it runs them and answers with a status that is usual for refused ones. In the modes
 * `until-close` and `until-close-reset`, responses have neither a length nor chunks; in the latter,
 * their connection is reset halfway.
 */
export type TargetMode =
  'sound' | 'hang' | 'reset' | 'slow' | 'errors' | 'refusals' | 'until-close' | 'until-close-reset';

/** Options of {@link PlatformTargetStandIn.start}. */
export interface PlatformTargetOptions {
  readonly id: string;
  readonly slots: number;
  /** Whether responses are event streams. */
  readonly isStreaming: boolean;
  /** Version of its software. */
  readonly version: string;
  /** TCP port on 127.0.0.1; 0 lets the system choose. */
  readonly port: number;
  /** Called with each run when it starts. */
  readonly record: (run: TargetRun) => void;
  /**
   * Called when a request crashes the target; `crash-MILLISECONDS` as the last part of its path
   * does so.
   */
  readonly onCrash?: () => void;
}

interface ActiveRun {
  readonly run: TargetRun;
  readonly response: ServerResponse;
  /** Number of events, each sent after `stepMilliseconds`; a plain response is one step. */
  readonly steps: number;
  readonly stepMilliseconds: number;
}

const parseNumberHeader = (headers: IncomingHttpHeaders, name: string): number | undefined => {
  const text = headers[name];
  return typeof text === 'string' && text !== '' ? Number(text) : undefined;
};

/** Returns how long after its start a request crashes its target; undefined if it does not. */
const parseCrashDelayMilliseconds = (url = ''): number | undefined => {
  const found = /\/crash-(\d+)$/.exec(url);
  return found ? Number(found[1]) : undefined;
};

const computeSignature = (...parts: readonly string[]): string =>
  createHash('sha256').update(parts.join(' ')).digest('hex').slice(0, 24);

/**
 * One incarnation of a target on the platform. The last part of a request's path, such as `12x30`,
 * sets the number of steps and the milliseconds that each takes; `crash-5` crashes the target after
 * 5 ms.
 */
export class PlatformTargetStandIn {
  readonly id: string;

  /** Start, as Unix time in milliseconds. */
  readonly bornMilliseconds = Date.now();

  mode: TargetMode = 'sound';

  /** Whether responses announce that the target is leaving and close their connection. */
  isLeaving = false;

  /** Limits that the target named, and the requests that arrived. */
  readonly limitHistory = new LimitHistory();

  /** When the target ended, as a reading of `performance.now()`. */
  endedAt: number | undefined;

  readonly #options: PlatformTargetOptions;

  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  readonly #activeRuns = new Set<ActiveRun>();

  private constructor(options: PlatformTargetOptions) {
    this.id = options.id;
    this.#options = options;
    this.#server = createServer((request, response) => {
      request.resume();
      request.once('end', () => this.#handleRequest(request, response));
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

  get version(): string {
    return this.#options.version;
  }

  get port(): number {
    const address = this.#server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Ends the target immediately and cuts off its active runs. */
  async end(): Promise<void> {
    if (this.endedAt !== undefined) return;
    this.endedAt = performance.now();
    [...this.#activeRuns].forEach((activeRun) =>
      this.#finish(activeRun, { kind: 'broken', cause: 'crashed' }),
    );
    const closed = once(this.#server, 'close');
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    await closed;
  }

  #handleRequest(request: IncomingMessage, response: ServerResponse): void {
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
    this.limitHistory.recordArrival(requestId);
    if (this.#activeRuns.size >= this.#options.slots) {
      this.#decline(response, STATUS_UNAVAILABLE);
      return;
    }
    const firstEvent = (parseNumberHeader(headers, 'last-event-id') ?? 0) + 1;
    const startedAt = performance.now();
    const signature = computeSignature(requestId, this.id, String(startedAt));
    const run = {
      requestId,
      targetId: this.id,
      version: this.version,
      startedAt,
      firstEvent,
      signature,
      wasSilent: false,
    };
    this.#options.record(run);
    const [steps = 1, stepMilliseconds = 0] =
      (request.url ?? '').split('/').at(-1)?.split('x') ?? [];
    const activeRun = {
      run,
      response,
      steps: Number(steps),
      stepMilliseconds: Number(stepMilliseconds),
    };
    this.#activeRuns.add(activeRun);
    this.#endOnCloseOrDeadline(activeRun, parseNumberHeader(headers, 'deadline-milliseconds'));
    const crashDelayMilliseconds = parseCrashDelayMilliseconds(request.url);
    if (crashDelayMilliseconds !== undefined) {
      setTimeout(() => this.#options.onCrash?.(), crashDelayMilliseconds);
      return;
    }
    void (this.#options.isStreaming
      ? this.#respondWithStream(activeRun)
      : this.#respondPlain(activeRun));
  }

  /** Ends a run when its connection closes or its deadline expires. */
  #endOnCloseOrDeadline(activeRun: ActiveRun, deadlineMilliseconds: number | undefined): void {
    const { response } = activeRun;
    const deadlineTimer = setTimeout(() => {
      if (!response.headersSent) {
        this.#respond(activeRun, STATUS_DEADLINE, 'the deadline is over');
        return;
      }
      this.#finish(activeRun, { kind: 'broken', cause: 'deadline' });
      response.destroy();
    }, deadlineMilliseconds ?? 60_000);
    response.once('close', () => {
      clearTimeout(deadlineTimer);
      this.#finish(activeRun, { kind: 'cancelled' });
    });
  }

  async #respondPlain(activeRun: ActiveRun): Promise<void> {
    if (!(await this.#waitForStep(activeRun))) return;
    const { requestId, signature } = activeRun.run;
    const failureStatus = this.#failureStatus;
    const filler = failureStatus === undefined ? 'b' : 'e';
    const body = `${requestId} ${signature} `.padEnd(PLAIN_BODY_BYTES, filler);
    this.#respond(activeRun, failureStatus ?? STATUS_OK, body);
  }

  async #respondWithStream(activeRun: ActiveRun): Promise<void> {
    const { run, response, steps } = activeRun;
    const failureStatus = this.#failureStatus;
    if (failureStatus !== undefined) {
      this.#respond(activeRun, failureStatus, 'failed');
      return;
    }
    let body = '';
    for (let event = run.firstEvent; event <= steps; event += 1) {
      if (!(await this.#waitForStep(activeRun))) return;
      if (!response.headersSent) {
        this.#writeHead(response, STATUS_OK, this.#headers(run, { ...EVENT_STREAM_HEADERS }));
      }
      const text = eventText(run.requestId, this.version, event, event);
      body += text;
      response.write(text);
      if (this.mode === 'until-close-reset' && event * 2 >= steps) {
        this.#reset(activeRun);
        return;
      }
    }
    if (!response.headersSent) {
      this.#writeHead(response, STATUS_OK, this.#headers(run, { ...EVENT_STREAM_HEADERS }));
    }
    this.#finish(activeRun, { kind: 'answered', status: STATUS_OK, body });
    response.end();
  }

  /** Status of requests that were run without success; undefined if they succeed. */
  get #failureStatus(): number | undefined {
    if (this.mode === 'errors') return STATUS_FAILED;
    return this.mode === 'refusals' ? STATUS_UNAVAILABLE : undefined;
  }

  /** Waits for one step; resolves to whether the run continues. */
  async #waitForStep(activeRun: ActiveRun): Promise<boolean> {
    const { run, stepMilliseconds } = activeRun;
    await waitMilliseconds(stepMilliseconds * (this.mode === 'slow' ? SLOW_FACTOR : 1));
    while (this.mode === 'hang' && this.#activeRuns.has(activeRun)) {
      run.wasSilent = true;
      await waitMilliseconds(SILENCE_CHECK_MILLISECONDS);
    }
    if (this.mode === 'reset' && this.#activeRuns.has(activeRun)) this.#reset(activeRun);
    return this.#activeRuns.has(activeRun);
  }

  #respond(activeRun: ActiveRun, status: number, body: string): void {
    if (!this.#activeRuns.has(activeRun)) return;
    const { response, run } = activeRun;
    const headers = this.#headers(run, { 'content-length': String(body.length) });
    this.#writeHead(response, status, headers);
    if (this.mode === 'until-close-reset') {
      response.write(body.slice(0, body.length / 2));
      this.#reset(activeRun);
      return;
    }
    this.#finish(activeRun, { kind: 'answered', status, body });
    response.end(body);
  }

  /** Writes a head, without the framing of its body in the modes in which the connection ends it. */
  #writeHead(response: ServerResponse, status: number, headers: OutgoingHttpHeaders): void {
    if (this.mode !== 'until-close' && this.mode !== 'until-close-reset') {
      response.writeHead(status, headers);
      return;
    }
    const unframedResponse = response;
    unframedResponse.shouldKeepAlive = false;
    unframedResponse.useChunkedEncodingByDefault = false;
    response.removeHeader('transfer-encoding');
    const kept = Object.entries(headers).filter(([name]) => name !== 'content-length');
    response.writeHead(status, { ...Object.fromEntries(kept), connection: 'close' });
  }

  #reset(activeRun: ActiveRun): void {
    this.#finish(activeRun, { kind: 'broken', cause: 'reset' });
    activeRun.response.socket?.resetAndDestroy();
  }

  #headers({ requestId, signature }: TargetRun, more: Record<string, string>): OutgoingHttpHeaders {
    return {
      ...more,
      ...(this.isLeaving ? { connection: 'close', 'server-leaving': '1' } : {}),
      'request-id': requestId,
      'response-signature': signature,
      'server-load': this.#loadHeader,
      ...this.#nameLimit(),
    };
  }

  #nameLimit(): Record<string, string> {
    const requestsPerSecond = this.limitHistory.name();
    return requestsPerSecond === undefined ? {} : { 'server-limit': String(requestsPerSecond) };
  }

  get #loadHeader(): string {
    return `${this.#activeRuns.size},0,${this.#options.slots}`;
  }

  #decline(response: ServerResponse, status: number): void {
    const requestId = response.req.headers['request-id'];
    response.writeHead(status, {
      ...(requestId === undefined ? {} : { 'request-id': requestId }),
      'content-length': 0,
      'not-executed': '1',
      'server-load': this.#loadHeader,
      ...this.#nameLimit(),
    });
    response.end();
  }

  #finish(activeRun: ActiveRun, end: RunEnd): void {
    if (!this.#activeRuns.delete(activeRun)) return;
    Object.assign(activeRun.run, { end, endedAt: performance.now() });
  }
}
