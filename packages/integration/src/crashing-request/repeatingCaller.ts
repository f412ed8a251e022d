import type { CallerRecord } from '@limpetnotch/stand-ins';
import { CallerConnection, PLATFORM_PORTS, platformRequestHeaders } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { SoakRoute } from '../signal-soak/soakRoutes';

/** Work that crashes a target 5 ms after it receives the request. */
export const CRASH_WORK = 'crash-5';

/** Pause after each response. */
const PAUSE_MILLISECONDS = 250;
const PROMPT_TOKENS = 500;
const ANSWER_TOKENS = 40;

/** Options of {@link RepeatingCaller}. */
export interface RepeatingCallerOptions {
  readonly name: string;
  /** Addresses of the instances; requests are sent to them in turn. */
  readonly hosts: readonly string[];
  readonly host: string;
  readonly key: string;
  readonly route: SoakRoute;
  /** Last segment of the path, which tells the target what to do. */
  readonly work: string;
  readonly signal: AbortSignal;
  /** Index of the instance that gets the first request; 0 if omitted. */
  readonly firstInstance?: number;
}

/** A repeated request and the index of the instance that received it. */
export interface RepeatedRequest {
  readonly instance: number;
  readonly record: CallerRecord;
}

/** Repeats one request, each time with a new identifier and on a new connection. */
export class RepeatingCaller {
  readonly sent: RepeatedRequest[] = [];

  readonly #options: RepeatingCallerOptions;

  #sentCount = 0;

  constructor(options: RepeatingCallerOptions) {
    this.#options = options;
  }

  /** Whether this caller sent the request. */
  isOwnRequest(requestId: string): boolean {
    return requestId.startsWith(`${this.#options.name}-`);
  }

  async run(): Promise<void> {
    const { signal } = this.#options;
    while (!signal.aborted) {
      await this.#sendNext();
      await delay(PAUSE_MILLISECONDS, signal);
    }
  }

  async #sendNext(): Promise<void> {
    const { hosts, firstInstance = 0 } = this.#options;
    const instance = (firstInstance + this.#sentCount) % hosts.length;
    this.#sentCount += 1;
    const connection = await CallerConnection.open(hosts[instance] ?? '', PLATFORM_PORTS.entry);
    if (!connection) return;
    const record = await connection.send(this.#createRequest());
    connection.close();
    this.sent.push({ instance, record });
  }

  #createRequest() {
    const { name, route, work, host, key } = this.#options;
    const id = `${name}-${this.#sentCount}`;
    const prompt = { part: name, tokens: PROMPT_TOKENS, answerTokens: ANSWER_TOKENS };
    return {
      id,
      method: route.kind === 'safe' ? ('GET' as const) : ('POST' as const),
      path: `/${route.name}/${work}`,
      headers: platformRequestHeaders({
        id,
        host,
        key,
        deadlineMilliseconds: route.timeoutMilliseconds,
        ...(route.kind === 'stream' && { prompt }),
        ...(route.isTurn && { program: id }),
      }),
      body: route.kind === 'safe' ? '' : `body of ${name}`,
      leaveAfterMilliseconds: undefined,
      giveUpAfterMilliseconds: route.timeoutMilliseconds + 1_000,
    };
  }
}
