import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';
import { addControlPaths } from '../util/addControlPaths';
import { StandInServer } from '../util/standInServer';
import { parseStatsd } from './parseStatsd';

const KEPT_BODIES = 1_000;
const HOST = '127.0.0.1';

/** Stand-in of a collector: OTLP over HTTP for traces, and StatsD over UDP for metrics. */
export class CollectorStandIn {
  readonly server = new StandInServer();

  /** Bodies of the last trace exports, as JSON text or, for protobuf, in base64. */
  readonly traceBodies: string[] = [];

  readonly #counters = new Map<string, number>();

  readonly #gauges = new Map<string, number>();

  readonly #statsd: Socket = createSocket('udp4');

  #traceExports = 0;

  constructor() {
    const { application } = this.server;
    application.addContentTypeParser(
      'application/x-protobuf',
      { parseAs: 'buffer' },
      (_request, body, done) => done(null, body),
    );
    application.post('/v1/traces', async (request) => this.#collect(request.body));
    addControlPaths(this.server, {
      setFaults: async () => ({}),
      statistics: () => this.statistics(),
      lists: { '/traces': () => this.traceBodies },
    });
    this.#statsd.on('message', (datagram) => this.#count(datagram.toString('utf8')));
  }

  /** Starts on a TCP port for traces and the same UDP port for StatsD; resolves to the port. */
  async start(port = 0): Promise<number> {
    const bound = await this.server.start(port);
    await new Promise<void>((resolve) => {
      this.#statsd.bind(bound, HOST, resolve);
    });
    return bound;
  }

  async stop(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#statsd.close(() => resolve());
    });
    await this.server.stop();
  }

  /** Returns a counter's sum over all tags. */
  counter(name: string): number {
    return this.#counters.get(name) ?? 0;
  }

  /** Returns the sum of all counters whose name is accepted. */
  sumOfCounters(accepts: (name: string) => boolean): number {
    return [...this.#counters].reduce(
      (sum, [name, value]) => (accepts(name) ? sum + value : sum),
      0,
    );
  }

  statistics(): object {
    return {
      traceExports: this.#traceExports,
      counters: Object.fromEntries(this.#counters),
      gauges: Object.fromEntries(this.#gauges),
    };
  }

  #collect(body: unknown): object {
    this.#traceExports += 1;
    this.traceBodies.push(Buffer.isBuffer(body) ? body.toString('base64') : JSON.stringify(body));
    if (this.traceBodies.length > KEPT_BODIES) this.traceBodies.shift();
    return {};
  }

  #count(datagram: string): void {
    parseStatsd(datagram).forEach(({ name, value, type }) => {
      if (type === 'g') this.#gauges.set(name, value);
      else this.#counters.set(name, (this.#counters.get(name) ?? 0) + (type === 'c' ? value : 1));
    });
  }
}
