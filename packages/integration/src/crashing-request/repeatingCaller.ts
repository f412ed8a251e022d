import type { CallerRecord } from '@limpetnotch/stand-ins';
import { CallerConnection, PLATFORM_PORTS, platformRequestHeaders } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { SoakRoute } from '../signal-soak/soakRoutes';

/** Work that crashes a target 5 ms after the request has reached it. */
export const CRASH_WORK = 'crash-5';

/** Pause after each answer. */
const PAUSE_MILLISECONDS = 250;
const PROMPT_TOKENS = 500;
const ANSWER_TOKENS = 40;

/** Options of {@link RepeatingCaller}. */
export interface RepeatingCallerOptions {
  readonly name: string;
  /** Hosts of the instances, which get the requests in turn. */
  readonly hosts: readonly string[];
  readonly host: string;
  readonly key: string;
  readonly route: SoakRoute;
  /** Last part of the path, which says what the target does. */
  readonly work: string;
  readonly signal: AbortSignal;
}

/** A request that was sent again, with the instance that it was sent to. */
export interface RepeatedRequest {
  readonly instance: number;
  readonly record: CallerRecord;
}

/** Sends one request again and again, each time under a new identifier and on a new connection. */
export class RepeatingCaller {
  readonly sent: RepeatedRequest[] = [];

  readonly #options: RepeatingCallerOptions;

  #count = 0;

  constructor(options: RepeatingCallerOptions) {
    this.#options = options;
  }

  /** Whether a request is of this caller. */
  isOwn(requestId: string): boolean {
    return requestId.startsWith(`${this.#options.name}-`);
  }

  async run(): Promise<void> {
    const { signal } = this.#options;
    while (!signal.aborted) {
      await this.#sendOne();
      await delay(PAUSE_MILLISECONDS, signal);
    }
  }

  async #sendOne(): Promise<void> {
    const { hosts } = this.#options;
    const instance = this.#count % hosts.length;
    this.#count += 1;
    const connection = await CallerConnection.open(hosts[instance] ?? '', PLATFORM_PORTS.entry);
    if (!connection) return;
    const record = await connection.send(this.#request());
    connection.close();
    this.sent.push({ instance, record });
  }

  #request() {
    const { name, route, work, host, key } = this.#options;
    const id = `${name}-${this.#count}`;
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
