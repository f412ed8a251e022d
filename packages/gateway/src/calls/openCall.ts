import type { ServerResponse } from 'node:http';
import type { Call } from './call';

/** How a request ended, as far as its instance can tell. */
export type OpenCallEnd = 'served' | 'refused' | 'caller-gone';

/** One request from its head to its final answer, admitted or not. */
export class OpenCall {
  readonly response: ServerResponse;

  readonly arrivedAtMilliseconds = performance.now();

  /** Identifier of the request; undefined until its head was decoded. */
  id: string | undefined;

  /** The admitted call; undefined until then. */
  call: Call | undefined;

  end: OpenCallEnd = 'caller-gone';

  readonly #ending = new AbortController();

  constructor(response: ServerResponse) {
    this.response = response;
  }

  /** Aborts when the request must have its final answer now, whatever it waits for. */
  get ending(): AbortSignal {
    return this.#ending.signal;
  }

  /** Whether a target may have the request, or may have had it. */
  get wasDispatched(): boolean {
    return this.call?.target !== undefined;
  }

  /** Asks for the final answer. */
  endNow(): void {
    this.#ending.abort();
  }

  /** Time since the request arrived, in milliseconds. */
  get ageMilliseconds(): number {
    return performance.now() - this.arrivedAtMilliseconds;
  }
}
