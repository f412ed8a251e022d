import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { LogFields, Logger } from '@limpetnotch/observability';
import { PrefixDirectory, TargetCapacities, TargetSpeeds } from '@limpetnotch/scheduling';
import { once } from 'node:events';
import { createServer, request as httpRequest } from 'node:http';
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { ResponseWriter } from '../../src/calls/responseWriter';
import { Call } from '../../src/calls/call';
import type { CallEnvelope } from '../../src/calls/callEnvelope';
import { CallEligibility } from '../../src/calls/callEligibility';
import type { CallResult } from '../../src/calls/callRunner';
import { CallRunner } from '../../src/calls/callRunner';
import { BufferLimiter } from '../../src/calls/bufferLimiter';
import { TargetBuffers } from '../../src/calls/targetBuffers';
import type { NamedLimit, ResponseHead, WireCodec } from '../../src/calls/wireCodec';
import type { FleetRoute, TargetService } from '../../src/configuration/fleetConfiguration';
import { FleetState } from '../../src/fleet/fleetState';
import type { TargetAccess } from '../../src/forwarding/targetAccess';
import type { FleetTarget } from '../../src/targets/fleetTarget';
import { TargetConnections } from '../../src/targets/targetConnections';
import { RequestQuarantine } from '../../src/quarantine/requestQuarantine';
import { CrashDetector } from '../../src/targets/crashDetector';
import { TargetLoads } from '../../src/targets/targetLoads';
import { callEnvelope } from './callEnvelope';
import { fleetRoute } from './fleetRoute';
import { fleetTarget } from './fleetTarget';
import { platformLimits } from './platformLimits';
import { singleInstanceAccess } from './singleInstanceAccess';
import { singleInstanceLimits } from './singleInstanceLimits';

const toNamedLimit = (text: string | undefined): NamedLimit =>
  text === undefined ? { kind: 'none' } : { kind: 'limited', requestsPerSecond: Number(text) };

const findValue = (rawHeaders: readonly string[], name: string): string | undefined => {
  const index = rawHeaders.indexOf(name);
  return index < 0 ? undefined : rawHeaders[index + 1];
};

/** Codec for headers that only these tests use. */
const codec: WireCodec = {
  decodeRequest: () => ({ kind: 'malformed-request', detail: 'unused' }),
  encodeDispatch: (envelope, note) => [
    ...['x-id', envelope.id, 'x-target', note.targetId, 'x-after', note.lastEventId ?? ''],
  ],
  decodeResponseId: (rawHeaders) => findValue(rawHeaders, 'x-id'),
  decodeResponse: (status, rawHeaders): ResponseHead => {
    const value = (name: string): string | undefined => findValue(rawHeaders, name);
    return {
      status,
      requestId: value('x-id'),
      isSigned: value('x-signed') !== undefined,
      isNotExecuted: value('x-not-run') !== undefined,
      isMisdirected: status === 421,
      isLeaving: value('x-leaving') !== undefined,
      hasContentEncoding: false,
      load: { kind: 'missing' },
      namedLimit: toNamedLimit(value('x-limit')),
      passedHeaders: [],
    };
  },
  encodeGatewayResponse: () => [],
};

/** Headers of a target's valid response to the request of these tests. */
export const SIGNED = { 'x-id': 'r1', 'x-signed': '1' };

/** Longer than any test takes, so that no call reaches its deadline. */
const PATIENCE_MILLISECONDS = 8_000;

export interface StandInTarget {
  readonly address: string;
  readonly server: Server;
}

/** What a caller of {@link CallHarness} received, and how the call ended. */
export interface CallerView {
  readonly result: CallResult;
  readonly status: number;
  readonly body: string;
  /** Whether the response was received completely. */
  readonly isWhole: boolean;
  readonly milliseconds: number;
}

/** One instance that runs a caller's calls at the targets of a test, over real connections. */
export class CallHarness {
  readonly fleet = new FleetState();

  readonly metrics = new MemoryMetrics();

  readonly bufferLimiter = new BufferLimiter(32 * 1024 * 1024);

  /** Changes a call before it runs. */
  prepareCall: (call: Call) => void = () => undefined;

  /** Ends the calls that start from now on once it aborts. */
  endSignal: AbortSignal | undefined;

  /** Maximum number of connections to one target. */
  connectionLimit = 8;

  readonly logLines: (readonly [string, LogFields | undefined])[] = [];

  readonly quarantine: RequestQuarantine;

  readonly #connections: TargetConnections;

  readonly #writer = new ResponseWriter({ codec, isLastOnConnection: () => false });

  readonly #servers: Server[] = [];

  readonly #runner: CallRunner;

  constructor(
    connections = new TargetConnections(),
    regions: Record<string, string> = {},
    targetAccess?: TargetAccess,
  ) {
    this.#connections = connections;
    const logger: Logger = {
      ...silentLogger,
      info: (message, fields) => this.logLines.push([message, fields]),
    };
    const { metrics } = this;
    const loads = new TargetLoads();
    const { fleet } = this;
    const { access, checker } = singleInstanceAccess({ fleet, loads, logger, metrics });
    const ends = new CrashDetector({
      directory: fleet.targets,
      check: (target) => checker.checkTarget(target),
      logger,
      metrics,
    });
    this.quarantine = new RequestQuarantine({ crashDetector: ends, loads, logger, metrics });
    this.#runner = new CallRunner({
      codec,
      connections,
      access: targetAccess ?? access,
      loads,
      ...singleInstanceLimits({ fleet, logger, metrics, loads }),
      eligibility: new CallEligibility({
        fleet,
        settings: { ...platformLimits, regions },
        logger,
        metrics,
      }),
      prefixes: new PrefixDirectory(),
      speeds: new TargetSpeeds(),
      capacities: new TargetCapacities(),
      instanceZones: () => ['a'],
      writer: this.#writer,
      buffers: new TargetBuffers(16 * 1024 * 1024, this.bufferLimiter),
      fleet: this.fleet,
      availabilityZone: 'a',
      logger,
      metrics: this.metrics,
      quarantine: this.quarantine,
      origins: { record: () => undefined },
      instanceCount: () => 1,
    });
  }

  /** Starts a target and announces it. */
  async addTarget(id: string, handle: RequestListener): Promise<StandInTarget> {
    const target = await this.#listen((request, response) => {
      response.setHeader('x-id', String(request.headers['x-id']));
      handle(request, response);
    });
    this.announce(id, target.address, 'serving');
    return target;
  }

  /** Applies an announcement of a target. */
  announce(
    id: string,
    address: string,
    state: 'serving' | 'leaving',
    change: Partial<FleetTarget> = {},
  ): void {
    this.fleet.targets.put(fleetTarget({ id, address, state, ...change }));
  }

  /** Puts a newer configuration with these routes, and the service of the tests, in force. */
  apply(routes: readonly Partial<FleetRoute>[], service: Partial<TargetService> = {}): void {
    const version = (this.fleet.index?.configuration.version ?? 0) + 1;
    this.fleet.apply({
      version,
      routes: routes.map(fleetRoute),
      services: [{ name: 's', connectionLimit: this.connectionLimit, ...service }],
      limits: {
        headerBytes: 8_192,
        bodyBytes: 8_192,
        headerTimeoutMilliseconds: 1_000,
        idleTimeoutMilliseconds: 1_000,
      },
    });
  }

  /** Runs one call from a caller over a real connection. */
  async run(
    route: Partial<FleetRoute>,
    id = 'r1',
    envelope: Partial<CallEnvelope> = {},
  ): Promise<CallerView> {
    let result: CallResult | undefined;
    const { address } = await this.#listen((_request, response) => {
      void this.#serve(route, { id, ...envelope }, response).then((ended) => {
        result = ended;
      });
    });
    const startedAt = performance.now();
    const sent = httpRequest(`http://${address}/`, { method: 'POST' });
    sent.end();
    const [answer] = (await once(sent, 'response')) as [IncomingMessage];
    const chunks: Buffer[] = [];
    answer.on('data', (chunk: Buffer) => chunks.push(chunk));
    // A truncated response ends with an error, which shows in the caller's view.
    answer.on('error', () => undefined);
    await new Promise<void>((resolve) => {
      answer.once('close', resolve);
    });
    const milliseconds = performance.now() - startedAt;
    await new Promise(setImmediate);
    return {
      result: result!,
      status: answer.statusCode ?? 0,
      body: Buffer.concat(chunks).toString(),
      isWhole: answer.complete,
      milliseconds,
    };
  }

  /** Runs one call from a caller of HTTP/1.0; returns the bytes that it received. */
  async runFromOldCaller(route: Partial<FleetRoute>): Promise<string> {
    const { server } = await this.#listen((_request, response) => {
      void this.#serve(route, { id: 'r1' }, response);
    });
    const address = server.address();
    const socket = connect(typeof address === 'object' && address ? address.port : 0, '127.0.0.1');
    const chunks: Buffer[] = [];
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.write('POST / HTTP/1.0\r\ncontent-length: 0\r\n\r\n');
    await once(socket, 'close');
    return Buffer.concat(chunks).toString();
  }

  /** Closes the connections and targets that the test opened. */
  async close(): Promise<void> {
    await this.#connections.close();
    this.#servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  }

  async #serve(
    route: Partial<FleetRoute>,
    envelope: Partial<CallEnvelope>,
    response: ServerResponse,
  ): Promise<CallResult> {
    const call = new Call({
      envelope: callEnvelope({ patienceMilliseconds: PATIENCE_MILLISECONDS, ...envelope }),
      route: fleetRoute({ timeoutMilliseconds: PATIENCE_MILLISECONDS, ...route }),
      organisation: undefined,
      service: { name: 's', connectionLimit: this.connectionLimit },
      body: Buffer.from('x'),
      response,
      arrivedAtMilliseconds: performance.now(),
      ...(this.endSignal && { endSignal: this.endSignal }),
    });
    this.prepareCall(call);
    const result = await this.#runner.run(call);
    if (result.kind === 'refused') this.#writer.refuse(response, undefined, result.refusal);
    return result;
  }

  async #listen(handle: RequestListener): Promise<StandInTarget> {
    const server = createServer(handle);
    this.#servers.push(server);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const address = server.address();
    const port = typeof address === 'object' && address ? address.port : 0;
    return { server, address: `127.0.0.1:${port}` };
  }
}
