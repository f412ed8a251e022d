import { ResultAsync } from 'neverthrow';
import { Agent } from 'undici';
import { z } from 'zod';
import { StaleFencingNumberError } from './staleFencingNumberError';

const TIMEOUT_MILLISECONDS = 1_000;
const CONFLICT = 409;
const FIRST_ERROR_STATUS = 300;

const loadSchema = z.object({
  running: z.number().min(0),
  queued: z.number().min(0),
  queued_tokens: z.number().min(0),
  age_milliseconds: z.number().min(0),
});

const conflictSchema = z.object({ newest: z.number().int() });

const cacheEventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.number().int(),
      change: z.enum(['stored', 'evicted']),
      digests: z.array(z.string()),
    }),
  ),
  next: z.number().int(),
});

/** Load reported by an engine. */
export interface EngineLoad {
  readonly runningCalls: number;
  readonly queuedCalls: number;
  readonly queuedTokens: number;
  readonly ageMilliseconds: number;
}

/** Cache events after a sequence, and the sequence for the next request. */
export type CacheEventBatch = z.infer<typeof cacheEventsSchema>;

/** A management order to an engine. */
export interface EngineOrder {
  /** Number that increases with each owner; an engine that supports fencing refuses lower ones. */
  readonly fencingNumber: number;
  readonly order: { readonly kind: 'free-session'; readonly sessionId: string };
}

/** Why a request to an engine failed. */
export type EngineControlError =
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The engine has seen a higher fencing number, which it returns. */
  | { readonly kind: 'stale-fencing-number'; readonly newest: number };

interface ControlRequestOptions {
  readonly address: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: object;
  readonly signal: AbortSignal;
}

/** Client of the management API of engines: load, cache events and orders. */
export class EngineControl {
  readonly #agent = new Agent({
    connect: { timeout: TIMEOUT_MILLISECONDS },
    headersTimeout: 2 * TIMEOUT_MILLISECONDS,
    bodyTimeout: 2 * TIMEOUT_MILLISECONDS,
  });

  /** Reads the load of an engine. */
  readLoad(address: string, signal: AbortSignal): ResultAsync<EngineLoad, EngineControlError> {
    const request = { address, method: 'GET', path: '/v1/load', signal } as const;
    return this.#request(request, loadSchema).map((load) => ({
      runningCalls: load.running,
      queuedCalls: load.queued,
      queuedTokens: load.queued_tokens,
      ageMilliseconds: load.age_milliseconds,
    }));
  }

  /** Reads the cache events after a sequence. */
  readCacheEvents(
    address: string,
    after: number,
    signal: AbortSignal,
  ): ResultAsync<CacheEventBatch, EngineControlError> {
    const path = `/v1/cache/events?after=${after}`;
    return this.#request({ address, method: 'GET', path, signal }, cacheEventsSchema);
  }

  /** Sends an order to an engine. */
  sendOrder(
    address: string,
    { fencingNumber, order }: EngineOrder,
    signal: AbortSignal,
  ): ResultAsync<unknown, EngineControlError> {
    const body = {
      fencing_number: fencingNumber,
      order: { kind: order.kind, session_id: order.sessionId },
    };
    return this.#request(
      { address, method: 'POST', path: '/v1/orders', body, signal },
      z.unknown(),
    );
  }

  /** Closes the connections; requests in progress fail. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  #request<Value>(
    request: ControlRequestOptions,
    schema: z.ZodType<Value>,
  ): ResultAsync<Value, EngineControlError> {
    return ResultAsync.fromPromise(this.#send(request, schema), (error): EngineControlError =>
      error instanceof StaleFencingNumberError
        ? { kind: 'stale-fencing-number', newest: error.newest }
        : { kind: 'unreachable', detail: error instanceof Error ? error.message : 'no answer' },
    );
  }

  async #send<Value>(
    { address, method, path, body, signal }: ControlRequestOptions,
    schema: z.ZodType<Value>,
  ): Promise<Value> {
    const response = await this.#agent.request({
      origin: address,
      path,
      method,
      signal,
      headers: { 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
    });
    const value: unknown = await response.body.json();
    if (response.statusCode === CONFLICT) {
      throw new StaleFencingNumberError(conflictSchema.parse(value).newest);
    }
    if (response.statusCode >= FIRST_ERROR_STATUS) throw new Error(`status ${response.statusCode}`);
    return schema.parse(value);
  }
}
