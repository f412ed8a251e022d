import type { ServerResponse } from 'node:http';
import { OpenCall } from './openCall';
import type { OpenCallEnd } from './openCall';

/** Requests whose callers have no final answer yet, and how the others ended. */
export class OpenCalls {
  readonly #calls = new Set<OpenCall>();

  /** Requests whose final answers have not left this process whole. */
  readonly #leaving = new Set<OpenCall>();

  readonly #ended: Record<OpenCallEnd, number> = { served: 0, refused: 0, 'caller-gone': 0 };

  #isEnding = false;

  /** Number of requests without a final answer. */
  get size(): number {
    return this.#calls.size;
  }

  /** Requests without a final answer, the oldest first. */
  get all(): readonly OpenCall[] {
    return [...this.#calls];
  }

  /** Requests that have a final answer which has not left this process whole. */
  get leaving(): readonly OpenCall[] {
    return [...this.#leaving];
  }

  /** Age of the oldest request, in milliseconds; 0 where there is none. */
  get oldestAgeMilliseconds(): number {
    const [oldest] = this.#calls;
    return oldest?.ageMilliseconds ?? 0;
  }

  /** Requests that ended in one way since the start. */
  ended(end: OpenCallEnd): number {
    return this.#ended[end];
  }

  /** Has every request end with its final answer, those that begin later too. */
  endNow(): void {
    this.#isEnding = true;
    this.all.forEach((open) => open.endNow());
  }

  /** Notes a request whose head was read. */
  begin(response: ServerResponse): OpenCall {
    const open = new OpenCall(response);
    this.#calls.add(open);
    if (this.#isEnding) open.endNow();
    return open;
  }

  /** Notes the end of a request. */
  finish(open: OpenCall): void {
    if (!this.#calls.delete(open)) return;
    this.#ended[open.end] += 1;
    const { response } = open;
    if (response.destroyed) return;
    this.#leaving.add(open);
    response.once('close', () => this.#leaving.delete(open));
  }
}
