import { once } from 'node:events';
import type { RequestListener, Server } from 'node:http';
import { createServer } from 'node:http';
import type { LogFields, Logger } from '@limpetnotch/observability';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { FleetService } from '@limpetnotch/peer-protocol';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import type { WireCodec } from '../../src/calls/wireCodec';
import { FleetState } from '../../src/fleet/fleetState';
import { ExchangeForwarder } from '../../src/forwarding/exchangeForwarder';
import type { ForwardedRequest } from '../../src/forwarding/forwardedRequest';
import type { PathVerdict } from '../../src/forwarding/pathChecker';
import { TargetPaths } from '../../src/forwarding/targetPaths';
import { HttpListener } from '../../src/ingress/httpListener';
import { FleetPeers } from '../../src/peers/fleetPeers';
import { fromForwardedRequestMessage, toPartMessage } from '../../src/peers/forwardingMessage';
import { TargetConnections } from '../../src/targets/targetConnections';
import { TargetLoads } from '../../src/targets/targetLoads';
import { WorkCounts } from '../../src/work/workCounts';
import { callEnvelope } from '../support/callEnvelope';
import { fleetTarget } from '../support/fleetTarget';

/** Codec whose headers tell what a forwarder was given. */
const codec: Pick<WireCodec, 'encodeDispatch' | 'decodeResponse' | 'decodeResponseId'> = {
  encodeDispatch: (envelope, dispatch) => [
    ...envelope.passedHeaders,
    ...['x-id', envelope.id, 'x-target', dispatch.targetId],
    ...['x-remaining', String(Math.round(dispatch.remainingMilliseconds ?? 0))],
    ...['x-after', dispatch.lastEventId ?? '', 'x-organisation', dispatch.organisation ?? ''],
  ],
  // Most tests send one request, which their targets don't name.
  decodeResponseId: (rawHeaders) =>
    rawHeaders.includes('x-id') ? rawHeaders[rawHeaders.indexOf('x-id') + 1] : 'r1',
  decodeResponse: (status, rawHeaders) => ({
    status,
    requestId: undefined,
    isSigned: true,
    isNotExecuted: false,
    isMisdirected: false,
    isLeaving: rawHeaders.includes('x-leaving'),
    hasContentEncoding: false,
    load: { kind: 'missing' },
    namedLimit: { kind: 'none' },
    passedHeaders: [],
  }),
};

/** A target, an instance that forwards exchanges to it, and the clients of another instance. */
export class ForwarderFleet {
  readonly target: ForwardedRequest['target'];

  readonly fleet = new FleetState();

  readonly paths: TargetPaths;

  readonly forwarder: ExchangeForwarder;

  readonly peers: FleetPeers;

  readonly logLines: (readonly [string, LogFields | undefined])[] = [];

  isDraining = false;

  verdict: PathVerdict = 'unknown';

  readonly #server: Server;

  readonly #connections = new TargetConnections();

  #listener: HttpListener | undefined;

  private constructor(server: Server, port: number) {
    this.#server = server;
    const logger: Logger = {
      ...silentLogger,
      info: (message, fields) => this.logLines.push([message, fields]),
    };
    const metrics = new MemoryMetrics();
    const target = fleetTarget({ id: 't', address: `127.0.0.1:${port}`, bornMilliseconds: 5 });
    this.target = target;
    this.fleet.targets.put(target);
    this.paths = new TargetPaths({ targets: () => this.fleet.targets.all, logger, metrics });
    this.peers = new FleetPeers({ logger, metrics, counts: new WorkCounts(metrics) });
    this.forwarder = new ExchangeForwarder({
      fleet: this.fleet,
      codec,
      connections: this.#connections,
      loads: new TargetLoads(),
      paths: this.paths,
      pathChecker: { explainFailure: async () => this.verdict },
      instanceCount: () => 2,
      isDraining: () => this.isDraining,
      logger,
      metrics,
    });
  }

  /** Starts a target, and an instance `forwarder` that another one reaches over `peers`. */
  static async start(handle: RequestListener): Promise<ForwarderFleet> {
    const server = createServer(handle);
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const address = server.address();
    const fleet = new ForwarderFleet(
      server,
      typeof address === 'object' && address ? address.port : 0,
    );
    fleet.#listener = await HttpListener.start({
      host: '127.0.0.1',
      port: 0,
      listener: connectNodeAdapter({
        routes: (router) =>
          router.service(FleetService, {
            async *forwardExchange(message, { signal }) {
              const request = fromForwardedRequestMessage(message);
              if (!request) return;
              for await (const part of fleet.forwarder.forward(request, signal)) {
                yield toPartMessage(part);
              }
            },
          }),
      }),
    });
    fleet.peers.setPeers(new Map([['forwarder', `127.0.0.1:${fleet.#listener.port}`]]));
    return fleet;
  }

  /** Returns a request of the other instance. */
  createRequest(change: Partial<ForwardedRequest> = {}): ForwardedRequest {
    return {
      target: this.target,
      envelope: callEnvelope({ id: 'r1', method: 'POST', pathAndQuery: '/path?query' }),
      body: Buffer.from('body'),
      remainingMilliseconds: 3_000,
      organisation: 'organisation',
      priority: undefined,
      isRepeat: false,
      ...change,
    };
  }

  /** Makes the target refuse connections. */
  async refuseConnections(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => {
      this.#server.close(resolve);
    });
  }

  /** Ends the instance that forwards, with its connections. */
  async endForwarder(): Promise<void> {
    await this.#listener?.close();
  }

  async stop(): Promise<void> {
    this.peers.close();
    await this.#listener?.close();
    await this.#connections.close();
    this.#server.closeAllConnections();
    this.#server.close();
  }
}
