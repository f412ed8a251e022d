import type { FastifyInstance, FastifyRequest } from 'fastify';

const RETAINED_REQUESTS = 5_000;

/** A request as a stand-in received it. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: unknown;
  readonly atMilliseconds: number;
}

/**
 * Records the latest requests and counts those that contain a marker, a text that must not arrive.
 */
export class RequestRecorder {
  readonly #markers: () => readonly string[];

  #requests: ReceivedRequest[] = [];

  #received = 0;

  #sightings = 0;

  constructor(markers: () => readonly string[]) {
    this.#markers = markers;
  }

  get requests(): readonly ReceivedRequest[] {
    return this.#requests;
  }

  get received(): number {
    return this.#received;
  }

  /** Number of requests that contained a marker in their path, a header or the body. */
  get sightings(): number {
    return this.#sightings;
  }

  /** Records every request of an application except those to the ignored paths. */
  attach(application: FastifyInstance, ignoredPaths: ReadonlySet<string>): void {
    application.addHook('preHandler', async (request) => {
      if (!ignoredPaths.has(request.url)) this.#record(request);
    });
  }

  #record(request: FastifyRequest): void {
    const received: ReceivedRequest = {
      method: request.method,
      path: request.url,
      headers: request.headers,
      body: request.body,
      atMilliseconds: Date.now(),
    };
    this.#received += 1;
    this.#requests.push(received);
    if (this.#requests.length > 2 * RETAINED_REQUESTS) {
      this.#requests = this.#requests.slice(-RETAINED_REQUESTS);
    }
    const markers = this.#markers();
    if (markers.length === 0) return;
    const text = JSON.stringify(received);
    if (markers.some((marker) => text.includes(marker))) this.#sightings += 1;
  }
}
