import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Agent, request } from 'undici';
import type { z } from 'zod';
import type { StoreError } from '../storeError';
import type { StoreObserver } from '../storeObserver';
import type { StoreCallKind } from './storeCallKind';
import { toConnectionError, toMalformedResponseError, toStatusError } from './storeErrors';

const FIRST_ERROR_STATUS = 300;
const CONNECTIONS_PER_ENDPOINT = 16;

/** Fits a listing of about a thousand values of up to 64 KB each. */
const MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024;

/** Options of a {@link GatewayClient}. */
export interface GatewayClientOptions {
  readonly endpoints: readonly string[];
  readonly requestTimeoutMilliseconds: number;
  readonly observer: StoreObserver;
}

/** One call to the gateway, with the schema of its response. */
export interface GatewayCall<Schema extends z.ZodType> {
  readonly kind: StoreCallKind;
  readonly path: string;
  readonly body: object;
  readonly schema: Schema;
}

/**
 * Calls the gateway over HTTP, using one endpoint at a time. When a call fails without a response,
 * the client closes the idle connections, which may be unresponsive as well, and switches to the
 * next endpoint.
 */
export class GatewayClient {
  readonly #options: GatewayClientOptions;

  #agent = GatewayClient.#createAgent();

  #endpointIndex = 0;

  constructor(options: GatewayClientOptions) {
    this.#options = options;
  }

  /** Base address of the current endpoint. */
  get endpoint(): string {
    const { endpoints } = this.#options;
    return endpoints[this.#endpointIndex % endpoints.length] ?? '';
  }

  call<Schema extends z.ZodType>(
    call: GatewayCall<Schema>,
  ): ResultAsync<z.output<Schema>, StoreError> {
    return new ResultAsync(this.#sendObserved(call));
  }

  /** Switches to the next endpoint and closes the connections to the previous one. */
  switchEndpoint(): void {
    this.#endpointIndex += 1;
    const agent = this.#agent;
    this.#agent = GatewayClient.#createAgent();
    agent.close().catch(() => undefined);
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  async #sendObserved<Schema extends z.ZodType>(
    call: GatewayCall<Schema>,
  ): Promise<Result<z.output<Schema>, StoreError>> {
    const reportOutcome = this.#options.observer.callStarted(call.kind);
    const result = await this.#send(call);
    reportOutcome(result.isOk() ? 'answered' : result.error.kind);
    return result;
  }

  async #send<Schema extends z.ZodType>(
    call: GatewayCall<Schema>,
  ): Promise<Result<z.output<Schema>, StoreError>> {
    const agent = this.#agent;
    const controller = new AbortController();
    const timer = setTimeout(
      () => controller.abort(new Error('no response in time')),
      this.#options.requestTimeoutMilliseconds,
    );
    try {
      const { statusCode, body } = await request(`${this.endpoint}${call.path}`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(call.body),
        dispatcher: agent,
        signal: controller.signal,
      });
      const text = await body.text();
      if (statusCode >= FIRST_ERROR_STATUS) {
        return err(toStatusError(call.kind, statusCode, text));
      }
      return GatewayClient.#parse(call, text);
    } catch (failure) {
      if (agent === this.#agent) this.switchEndpoint();
      return err(toConnectionError(call.kind, failure));
    } finally {
      clearTimeout(timer);
    }
  }

  static #parse<Schema extends z.ZodType>(
    call: GatewayCall<Schema>,
    text: string,
  ): Result<z.output<Schema>, StoreError> {
    try {
      const parsed = call.schema.safeParse(JSON.parse(text));
      if (parsed.success) return ok(parsed.data);
      return err(toMalformedResponseError(call.kind, parsed.error.issues[0]?.message ?? 'unknown'));
    } catch {
      return err(toMalformedResponseError(call.kind, 'not JSON'));
    }
  }

  static #createAgent(): Agent {
    return new Agent({
      connections: CONNECTIONS_PER_ENDPOINT,
      maxResponseSize: MAXIMUM_RESPONSE_BYTES,
    });
  }
}
