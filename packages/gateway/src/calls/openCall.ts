import type { ServerResponse } from 'node:http';
import type { Call } from './call';

/** How a request ended, from the view of its instance. */
export type OpenCallEnd = 'served' | 'refused' | 'caller-gone';

/** One request from its head to its final response, admitted or not. */
export class OpenCall {
  readonly response: ServerResponse;

  readonly arrivedAtMilliseconds = performance.now();

  /** Identifier of the request; undefined until its head is decoded. */
  id: string | undefined;

  /** The admitted call; undefined until the request is admitted. */
  call: Call | undefined;

  end: OpenCallEnd = 'caller-gone';

  readonly #endController = new AbortController();

  constructor(response: ServerResponse) {
    this.response = response;
  }

  /** Aborts when the request must be answered now, regardless of what it waits for. */
  get endSignal(): AbortSignal {
    return this.#endController.signal;
  }

  /** Whether the request may have been sent to a target. */
  get wasDispatched(): boolean {
    return this.call?.target !== undefined;
  }

  /** Requires the final response now. */
  endNow(): void {
    this.#endController.abort();
  }

  /** Time since the request arrived, in milliseconds. */
  get ageMilliseconds(): number {
    return performance.now() - this.arrivedAtMilliseconds;
  }
}
