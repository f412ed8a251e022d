import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';
import { addControlPaths } from '../util/addControlPaths';
import { StandInServer } from '../util/standInServer';
import { parseStatsd } from './parseStatsd';

const RETAINED_BODIES = 1_000;
const HOST = '127.0.0.1';

/** Stand-in of a telemetry collector: OTLP over HTTP for traces, StatsD over UDP for metrics. */
export class CollectorStandIn {
  readonly server = new StandInServer();

  /** Bodies of the latest trace exports: JSON text, or base64 for protobuf. */
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
    application.post('/v1/traces', async (request) => this.#recordTraceExport(request.body));
    addControlPaths(this.server, {
      setFaults: async () => ({}),
      statistics: () => this.statistics(),
      lists: { '/traces': () => this.traceBodies },
    });
    this.#statsd.on('message', (datagram) => this.#recordMetrics(datagram.toString('utf8')));
  }

  /** Listens on a TCP port for traces and on the same UDP port for StatsD; resolves to the port. */
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

  /** Returns the sum of a counter over all tags. */
  counter(name: string): number {
    return this.#counters.get(name) ?? 0;
  }

  /** Returns the sum of all counters whose name the predicate accepts. */
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

  #recordTraceExport(body: unknown): object {
    this.#traceExports += 1;
    this.traceBodies.push(Buffer.isBuffer(body) ? body.toString('base64') : JSON.stringify(body));
    if (this.traceBodies.length > RETAINED_BODIES) this.traceBodies.shift();
    return {};
  }

  #recordMetrics(datagram: string): void {
    parseStatsd(datagram).forEach(({ name, value, type }) => {
      if (type === 'g') this.#gauges.set(name, value);
      else this.#counters.set(name, (this.#counters.get(name) ?? 0) + (type === 'c' ? value : 1));
    });
  }
}
