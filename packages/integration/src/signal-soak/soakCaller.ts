import type { CallerRequest } from '@limpetnotch/stand-ins';
import {
  CallerConnection,
  PLATFORM_PORTS,
  platformRequestHeaders,
  SeededRandom,
} from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { Balancer } from './balancer';
import type { Lifetime } from './lifetime';
import type { SoakExchange } from './soakExchange';
import type { SoakRoute } from './soakRoutes';
import { drawWork } from './soakRoutes';

const MEAN_PAUSE_MILLISECONDS = 120;
/** Four fifths of the connections' idle timeout; callers reuse connections up to then. */
const LONGEST_PAUSE_MILLISECONDS = 8_000;
const LEAVE_PROBABILITY = 0.06;
const SHORT_DEADLINE_PROBABILITY = 0.1;
const SHORTEST_DEADLINE_MILLISECONDS = 500;
/** Callers wait this much longer than the route's timeout, to detect a late response. */
const WAIT_BEYOND_TIMEOUT_MILLISECONDS = 2_000;
const RECONNECT_DELAY_MILLISECONDS = 30;
const PROMPT_TOKENS = 500;
const TOKENS_PER_EVENT = 4;
const PROGRAM_TURNS = 6;

/** Options of {@link SoakCaller}. */
export interface SoakCallerOptions {
  readonly name: string;
  readonly seed: number;
  /** Whether its connection is mostly idle, so that requests arrive late in a drain. */
  readonly isSlow: boolean;
  readonly balancer: Balancer;
  readonly host: string;
  readonly keys: readonly string[];
  readonly routes: () => readonly SoakRoute[];
  /** Called with each exchange when it has ended. */
  readonly record: (exchange: SoakExchange) => void;
  /** Aborted at the end of the traffic. */
  readonly signal: AbortSignal;
}

interface DrawnRequest {
  readonly request: CallerRequest;
  readonly route: SoakRoute;
  readonly steps: number;
  readonly deadlineMilliseconds: number;
}

interface OpenConnection {
  readonly connection: CallerConnection;
  readonly lifetime: Lifetime;
}

/** Sends requests sequentially, on the same connection while it is open. */
export class SoakCaller {
  readonly #options: SoakCallerOptions;

  readonly #random: SeededRandom;

  #openConnection: OpenConnection | undefined;

  #sentCount = 0;

  constructor(options: SoakCallerOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
  }

  async run(): Promise<void> {
    while (!this.#options.signal.aborted) {
      await delay(this.#drawPause(), this.#options.signal);
      if (this.#options.signal.aborted) break;
      const open = await this.#connect();
      if (open) await this.#send(open);
      else await delay(RECONNECT_DELAY_MILLISECONDS);
    }
    this.#openConnection?.connection.close();
  }

  #drawPause(): number {
    if (this.#options.isSlow && this.#sentCount > 0) {
      return this.#random.integer(MEAN_PAUSE_MILLISECONDS, LONGEST_PAUSE_MILLISECONDS);
    }
    return Math.min(this.#random.exponential(MEAN_PAUSE_MILLISECONDS), LONGEST_PAUSE_MILLISECONDS);
  }

  /** Returns the open connection, or a new one to an instance in rotation. */
  async #connect(): Promise<OpenConnection | undefined> {
    if (this.#openConnection?.connection.isOpen) return this.#openConnection;
    const { inRotation } = this.#options.balancer;
    if (inRotation.length === 0) return undefined;
    const instance = this.#random.pick(inRotation);
    const lifetime = instance.latestLifetime;
    const connection = await CallerConnection.open(instance.host, PLATFORM_PORTS.entry);
    if (!connection) return undefined;
    if (lifetime !== instance.latestLifetime) {
      connection.close();
      return undefined;
    }
    this.#openConnection = { connection, lifetime };
    return this.#openConnection;
  }

  async #send({ connection, lifetime }: OpenConnection): Promise<void> {
    const { request, ...drawn } = this.#drawRequest();
    const record = await connection.send(request);
    this.#options.record({ ...drawn, record, lifetime, runs: [] });
  }

  #drawRequest(): DrawnRequest {
    const random = this.#random;
    this.#sentCount += 1;
    const id = `${this.#options.name}-${this.#sentCount}`;
    const route = random.pick(this.#options.routes());
    const work = drawWork(random, route);
    const steps = Number(work.split('x', 1)[0]);
    const { timeoutMilliseconds } = route;
    const deadlineMilliseconds = random.chance(SHORT_DEADLINE_PROBABILITY)
      ? random.integer(SHORTEST_DEADLINE_MILLISECONDS, timeoutMilliseconds)
      : timeoutMilliseconds + WAIT_BEYOND_TIMEOUT_MILLISECONDS;
    const isLeaving = random.chance(LEAVE_PROBABILITY);
    const leaveAfterMilliseconds = isLeaving ? random.integer(20, 800) : undefined;
    const request: CallerRequest = {
      id,
      method: route.kind === 'safe' ? 'GET' : 'POST',
      path: `/${route.name}/${work}`,
      headers: platformRequestHeaders({
        id,
        host: this.#options.host,
        key: random.pick(this.#options.keys),
        deadlineMilliseconds,
        ...(route.kind === 'stream' && { prompt: this.#createPrompt(steps) }),
        ...(route.isTurn && { program: this.#program }),
      }),
      body: route.kind === 'safe' ? '' : `body of ${id}`,
      leaveAfterMilliseconds,
      giveUpAfterMilliseconds: timeoutMilliseconds + WAIT_BEYOND_TIMEOUT_MILLISECONDS,
    };
    return { request, route, steps, deadlineMilliseconds };
  }

  get #program(): string {
    return `${this.#options.name}-p${Math.floor(this.#sentCount / PROGRAM_TURNS)}`;
  }

  #createPrompt(steps: number) {
    return { part: this.#program, tokens: PROMPT_TOKENS, answerTokens: steps * TOKENS_PER_EVENT };
  }
}
