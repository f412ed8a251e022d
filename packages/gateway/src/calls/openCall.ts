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

  constructor(response: ServerResponse) {
    this.response = response;
  }

  /** Time since the request arrived, in milliseconds. */
  get ageMilliseconds(): number {
    return performance.now() - this.arrivedAtMilliseconds;
  }
}
