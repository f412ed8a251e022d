import { once } from 'node:events';
import { createServer } from 'node:http';
import type { RequestListener, Server, ServerResponse } from 'node:http';
import { MemoryMetrics } from '@limpetnotch/observability';
import type { LogFields, Logger, LogMessageId } from '@limpetnotch/observability';
import { PrefixDirectory, TargetCapacities, TargetSpeeds } from '@limpetnotch/scheduling';
import { ResponseWriter } from '../../src/calls/responseWriter';
import { CallGateway } from '../../src/calls/callGateway';
import { CallEligibility } from '../../src/calls/callEligibility';
import { CallRunner } from '../../src/calls/callRunner';
import { BufferLimiter } from '../../src/calls/bufferLimiter';
import { TargetBuffers } from '../../src/calls/targetBuffers';
import { OpenCalls } from '../../src/calls/openCalls';
import type { FleetOrganisation, FleetRoute } from '../../src/configuration/fleetConfiguration';
import { FleetState } from '../../src/fleet/fleetState';
import { IngressServer } from '../../src/ingress/ingressServer';
import type { BudgetGate } from '../../src/budgets/budgetGate';
import type { QuotaGate } from '../../src/quotas/quotaGate';
import type { DrainTimes } from '../../src/shutdown/drainTimes';
import { GatewayDrain } from '../../src/shutdown/gatewayDrain';
import { TargetConnections } from '../../src/targets/targetConnections';
import { RequestQuarantine } from '../../src/quarantine/requestQuarantine';
import { CrashDetector } from '../../src/targets/crashDetector';
import { TargetLoads } from '../../src/targets/targetLoads';
import { fleetRoute } from './fleetRoute';
import { platformLimits } from './platformLimits';
import { singleInstanceAccess } from './singleInstanceAccess';
import { singleInstanceLimits } from './singleInstanceLimits';
import { testWireCodec } from './testWireCodec';

/** Options of an instance that a test sets. */
export interface DrainingInstanceOptions {
  readonly target: RequestListener;
  readonly times?: Partial<DrainTimes>;
  readonly route?: Partial<FleetRoute>;
  readonly organisations?: readonly FleetOrganisation[];
  readonly quotas?: QuotaGate;
  readonly budgets?: BudgetGate;
}

/** One log line. */
export interface LogLine extends LogFields {
  readonly message: LogMessageId;
}

/** The parts of an instance that take part in a shutdown, with one target, on 127.0.0.1. */
export class DrainingInstance {
  readonly openCalls = new OpenCalls();

  readonly metrics = new MemoryMetrics();

  readonly logLines: LogLine[] = [];

  /** Identifiers of the requests that the target received. */
  readonly receivedRequestIds = new Set<string>();

  readonly #options: DrainingInstanceOptions;

  readonly #connections = new TargetConnections();

  readonly #drain: GatewayDrain;

  #target: Server | undefined;

  #ingress: IngressServer | undefined;

  #shutdown: Promise<void> | undefined;

  private constructor(options: DrainingInstanceOptions) {
    this.#options = options;
    this.#drain = new GatewayDrain({
      calls: this.openCalls,
      ingress: () => this.#ingress,
      exchangesForOthers: () => 0,
      times: () => ({
        graceMilliseconds: 1_200,
        readinessLagMilliseconds: 100,
        answerReserveMilliseconds: 400,
        exitReserveMilliseconds: 200,
        ...options.times,
      }),
      logger: this.#logger,
      metrics: this.metrics,
    });
  }

  static async start(options: DrainingInstanceOptions): Promise<DrainingInstance> {
    const instance = new DrainingInstance(options);
    await instance.#start();
    return instance;
  }

  get port(): number {
    return this.#ingress?.port ?? 0;
  }

  /** Shuts down like a gateway: drains, stops its other tasks, and closes what remains. */
  async shutDown(endTasks: () => Promise<void> = async () => undefined): Promise<void> {
    this.#shutdown ??= this.#shutDown(endTasks);
    await this.#shutdown;
  }

  async close(): Promise<void> {
    await this.#ingress?.stop();
    await this.#connections.close();
    this.#target?.closeAllConnections();
    this.#target?.close();
  }

  async #shutDown(endTasks: () => Promise<void>): Promise<void> {
    await this.#drain.run();
    await endTasks();
    await this.#ingress?.stop();
  }

  async #start(): Promise<void> {
    const fleet = new FleetState();
    fleet.targets.put({
      id: 't0',
      address: await this.#listenAsTarget(),
      service: 's',
      availabilityZone: 'a',
      slots: 64,
      state: 'serving',
    });
    const { route, organisations } = this.#options;
    const limits = {
      headerBytes: 8_192,
      bodyBytes: 8_192,
      headerTimeoutMilliseconds: 60_000,
      idleTimeoutMilliseconds: 60_000,
    };
    fleet.apply({
      version: 1,
      routes: [fleetRoute({ timeoutMilliseconds: 60_000, ...route })],
      services: [{ name: 's', connectionLimit: 256 }],
      limits,
      ...(organisations && { organisations: [...organisations] }),
    });
    const calls = this.#createCallGateway(fleet);
    this.#ingress = await IngressServer.start({
      host: '127.0.0.1',
      port: 0,
      handle: (request, response) => calls.serve(request, response),
    });
    this.#ingress.setTimeouts(limits);
  }

  #createCallGateway(fleet: FleetState): CallGateway {
    const isLast = (response: ServerResponse): boolean => this.#drain.closeAfter(response);
    const writer = new ResponseWriter({ codec: testWireCodec, isLastOnConnection: isLast });
    const { metrics } = this;
    const logger = this.#logger;
    const loads = new TargetLoads();
    const { access, checker } = singleInstanceAccess({ fleet, loads, logger, metrics });
    const ends = new CrashDetector({
      directory: fleet.targets,
      check: (target) => checker.checkTarget(target),
      logger,
      metrics,
    });
    const quarantine = new RequestQuarantine({ crashDetector: ends, loads, logger, metrics });
    const runner = new CallRunner({
      codec: testWireCodec,
      connections: this.#connections,
      access,
      loads,
      ...singleInstanceLimits({ fleet, logger, metrics, loads }),
      eligibility: new CallEligibility({ fleet, settings: platformLimits, logger, metrics }),
      prefixes: new PrefixDirectory(),
      speeds: new TargetSpeeds(),
      capacities: new TargetCapacities(),
      instanceZones: () => ['a'],
      writer,
      buffers: new TargetBuffers(16 * 1024 * 1024, new BufferLimiter(32 * 1024 * 1024)),
      fleet,
      availabilityZone: 'a',
      logger: this.#logger,
      metrics: this.metrics,
      quarantine,
      origins: { record: () => undefined },
      instanceCount: () => 1,
    });
    return new CallGateway({
      codec: testWireCodec,
      fleet,
      quarantine,
      turnRetention: { begin: async () => ({ kind: 'admitted' }) },
      resumptions: {
        admit: async () => ({ kind: 'refused', reason: 'unobserved' }) as const,
      },
      programStarts: { admit: () => ({ kind: 'admitted' }) },
      quotas: this.#options.quotas ?? {
        admit: async () => ({ kind: 'admitted' }),
        take: async () => ({ kind: 'taken', returnToken: () => undefined }),
      },
      budgets: this.#options.budgets ?? {
        reserve: async () => ({ kind: 'reserved', settle: () => undefined }),
        isKnownSpent: () => false,
        hasProgramStarted: async () => false,
      },
      runner,
      writer,
      openCalls: this.openCalls,
      shedding: {
        isActive: false,
        recordServed: () => undefined,
        admit: () => ({ kind: 'admitted' }),
      },
      admitDuringDrain: (remainingMilliseconds) => this.#drain.admit(remainingMilliseconds),
      logger: this.#logger,
      metrics: this.metrics,
    });
  }

  async #listenAsTarget(): Promise<string> {
    this.#target = createServer((request, response) => {
      const id = String(request.headers['x-id']);
      this.receivedRequestIds.add(id);
      response.setHeader('x-id', id);
      this.#options.target(request, response);
    });
    this.#target.listen(0, '127.0.0.1');
    await once(this.#target, 'listening');
    const address = this.#target.address();
    return `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
  }

  get #logger(): Logger {
    const record = (message: LogMessageId, fields?: LogFields): void => {
      this.logLines.push({ ...fields, message });
    };
    return { debug: record, info: record, warn: record, error: record };
  }
}
