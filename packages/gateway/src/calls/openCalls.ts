import type { ServerResponse } from 'node:http';
import { OpenCall } from './openCall';
import type { OpenCallEnd } from './openCall';

/** Tracks the requests without a final response, and counts how the others ended. */
export class OpenCalls {
  readonly #calls = new Set<OpenCall>();

  /** Requests whose final responses have not been written completely. */
  readonly #unflushed = new Set<OpenCall>();

  readonly #endedCounts: Record<OpenCallEnd, number> = { served: 0, refused: 0, 'caller-gone': 0 };

  #isEnding = false;

  /** Number of requests without a final response. */
  get size(): number {
    return this.#calls.size;
  }

  /** Requests without a final response, oldest first. */
  get all(): readonly OpenCall[] {
    return [...this.#calls];
  }

  /** Requests whose final response has not been written to the connection completely. */
  get unflushed(): readonly OpenCall[] {
    return [...this.#unflushed];
  }

  /** Age of the oldest request, in milliseconds; 0 if there is none. */
  get oldestAgeMilliseconds(): number {
    const [oldest] = this.#calls;
    return oldest?.ageMilliseconds ?? 0;
  }

  /** Returns the number of requests that ended this way since the instance started. */
  countEnded(end: OpenCallEnd): number {
    return this.#endedCounts[end];
  }

  /** Requires the final response of every request now, including requests that begin later. */
  endNow(): void {
    this.#isEnding = true;
    this.all.forEach((open) => open.endNow());
  }

  /** Registers a request whose head was read. */
  begin(response: ServerResponse): OpenCall {
    const openCall = new OpenCall(response);
    this.#calls.add(openCall);
    if (this.#isEnding) openCall.endNow();
    return openCall;
  }

  /** Records the end of a request. */
  finish(openCall: OpenCall): void {
    if (!this.#calls.delete(openCall)) return;
    this.#endedCounts[openCall.end] += 1;
    const { response } = openCall;
    if (response.destroyed) return;
    this.#unflushed.add(openCall);
    response.once('close', () => this.#unflushed.delete(openCall));
  }
}
