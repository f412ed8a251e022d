import { randomUUID } from 'node:crypto';
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Logger, Metrics } from '@limpetnotch/observability';
import { SharedObservation } from '@limpetnotch/observation';
import { PrefixDirectory, TargetCapacities, TargetSpeeds } from '@limpetnotch/scheduling';
import type { BatchStore } from '@limpetnotch/store';
import { createEventLoopMonitor, Supervisor } from '@limpetnotch/supervision';
import { RetainedTurns, StorageDirectory } from '@limpetnotch/turns';
import { computeProgramRetention } from './budgets/computeProgramRetention';
import { createMemoryTask } from './budgets/createMemoryTask';
import { EscrowBudgets } from './budgets/escrowBudgets';
import { GrantMemory } from './budgets/grantMemory';
import { ResponseWriter } from './calls/responseWriter';
import { CallGateway } from './calls/callGateway';
import { CallEligibility } from './calls/callEligibility';
import { CallRunner } from './calls/callRunner';
import { OpenCalls } from './calls/openCalls';
import { TargetBuffers } from './calls/targetBuffers';
import type { WireCodec } from './calls/wireCodec';
import type { FleetConfiguration } from './configuration/fleetConfiguration';
import type { FleetCodec } from './fleet/fleetCodec';
import { FleetFollower } from './fleet/fleetFollower';
import { FleetState } from './fleet/fleetState';
import { RetirementReporter } from './fleet/retirementReporter';
import type { GatewaySettings } from './gatewaySettings';
import { ExchangeForwarder } from './forwarding/exchangeForwarder';
import { Forwarding } from './forwarding/forwarding';
import { PathChecker } from './forwarding/pathChecker';
import { TargetAccess } from './forwarding/targetAccess';
import { TargetPaths } from './forwarding/targetPaths';
import { HttpListener } from './ingress/httpListener';
import { IngressServer } from './ingress/ingressServer';
import { FleetLimits } from './limits/fleetLimits';
import { LimitedDispatch } from './limits/limitedDispatch';
import { ProgramStarts } from './limits/programStarts';
import type { ProbeAddress } from './overload/acceptProbe';
import { IngressLoad } from './overload/ingressLoad';
import { LoadShedding } from './overload/loadShedding';
import { OverloadGuards } from './overload/overloadGuards';
import { createFleetListener } from './peers/fleetListener';
import { FleetPeers } from './peers/fleetPeers';
import { Membership } from './peers/membership';
import { ObservationClient } from './peers/observationClient';
import { QuarantineLedger } from './quarantine/quarantineLedger';
import { QuarantineSharing } from './quarantine/quarantineSharing';
import { RequestQuarantine } from './quarantine/requestQuarantine';
import { OriginLedger } from './resumption/originLedger';
import { OriginSharing } from './resumption/originSharing';
import { OriginTable } from './resumption/originTable';
import { ResumptionGate } from './resumption/resumptionGate';
import { SharedQuotas } from './quotas/sharedQuotas';
import { computeDrainTimes } from './shutdown/computeDrainTimes';
import { GatewayDrain } from './shutdown/gatewayDrain';
import { CrashDetector } from './targets/crashDetector';
import { getIncarnationKey } from './targets/getIncarnationKey';
import { TargetConnections } from './targets/targetConnections';
import { TargetLoads } from './targets/targetLoads';
import { TurnRetention } from './turns/turnRetention';
import { rankInstances } from './util/rankInstances';
import { StallClock } from './util/stallClock';
import { CountedStore } from './work/countedStore';
import { createWorkReport } from './work/createWorkReport';
import { WorkCounts } from './work/workCounts';

/** Time within which nearly every program has ended. */
const LONGEST_PROGRAM_MILLISECONDS = 20_000;

/** Maximum size of the buffered, unfinished responses of one target, which may be faulty. */
const MAXIMUM_BUFFERED_TARGET_BYTES = 16 * 1024 * 1024;

/** Share of the instance's memory that retained turns may be cached in. */
const TURN_CACHE_SHARE = 0.06;

/** In a large fleet, two instances may have no call for a while; a connection costs as much as one. */
const PEER_IDLE_MILLISECONDS = 65_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Settings that may change while an instance runs. */
export type ReloadableSettings = Pick<GatewaySettings, 'graceMilliseconds' | 'quotaWindowSeconds'>;

/** Parts of a {@link Gateway}. */
export interface GatewayParts {
  readonly settings: GatewaySettings;
  readonly store: BatchStore;
  readonly wireCodec: WireCodec;
  readonly fleetCodec: FleetCodec;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** An instance that serves routes whose callers send the whole context with each request. */
export class Gateway {
  readonly #parts: GatewayParts;

  readonly #supervisor: Supervisor;

  readonly #fleet = new FleetState();

  readonly #connections = new TargetConnections();

  readonly overload: OverloadGuards;

  readonly #buffers: TargetBuffers;

  readonly #loads = new TargetLoads();

  readonly #prefixes = new PrefixDirectory();

  readonly #speeds = new TargetSpeeds();

  readonly #capacities = new TargetCapacities();

  readonly #limits: FleetLimits;

  readonly #paths: TargetPaths;

  readonly #pathChecker: PathChecker;

  readonly #forwarding: Forwarding;

  readonly #forwarder: ExchangeForwarder;

  readonly #ends: CrashDetector;

  readonly #quarantine: RequestQuarantine;

  readonly #quarantineLedger: QuarantineLedger;

  readonly #quarantineSharing: QuarantineSharing;

  readonly #counts: WorkCounts;

  readonly #peers: FleetPeers;

  readonly #observation: SharedObservation;

  readonly #membership: Membership;

  readonly #quotas: SharedQuotas;

  readonly #budgets: EscrowBudgets;

  readonly #stallClock = new StallClock();

  readonly #originLedger: OriginLedger;

  readonly #origins: OriginSharing;

  readonly #follower: FleetFollower;

  readonly #calls: CallGateway;

  readonly #openCalls = new OpenCalls();

  readonly #turns: RetainedTurns;

  readonly #drain: GatewayDrain;

  readonly #ingressLoad: IngressLoad;

  #peerListener: HttpListener | undefined;

  #ingress: IngressServer | undefined;

  #readiness: IngressServer | undefined;

  #reloadableSettings: ReloadableSettings;

  constructor(parts: GatewayParts) {
    this.#parts = parts;
    this.#reloadableSettings = parts.settings;
    const { logger, metrics, wireCodec: codec, settings } = parts;
    this.#supervisor = new Supervisor({ name: 'gateway', logger, metrics });
    this.#drain = new GatewayDrain({
      calls: this.#openCalls,
      ingress: () => this.#ingress,
      exchangesForOthers: () => this.#forwarder.underWay,
      times: () => computeDrainTimes(this.#reloadableSettings.graceMilliseconds),
      logger,
      metrics,
    });
    this.overload = new OverloadGuards({ ...settings, logger, metrics });
    this.#buffers = new TargetBuffers(MAXIMUM_BUFFERED_TARGET_BYTES, this.overload.responses);
    this.#ingressLoad = new IngressLoad({ address: () => this.#entryAddress, logger, metrics });
    const isLast = (response: ServerResponse): boolean => this.#drain.closeAfter(response);
    const writer = new ResponseWriter({ codec, isLastOnConnection: isLast });
    this.#counts = new WorkCounts(metrics);
    const store = new CountedStore(parts.store, this.#counts);
    this.#peers = new FleetPeers({ logger, metrics, counts: this.#counts });
    this.#paths = new TargetPaths({ targets: () => this.#fleet.targets.all, logger, metrics });
    this.#pathChecker = new PathChecker({
      paths: this.#paths,
      peers: this.#peers,
      directory: this.#fleet.targets,
      loads: this.#loads,
      isEvacuated: (zone) => this.#fleet.evacuations.has(zone),
      logger,
      metrics,
    });
    this.#forwarding = new Forwarding({
      peers: this.#peers,
      availabilityZone: settings.availabilityZone,
      availabilityZoneOf: (name) => this.#membership.availabilityZoneOf(name),
      logger,
      metrics,
    });
    this.#forwarder = new ExchangeForwarder({
      fleet: this.#fleet,
      codec,
      connections: this.#connections,
      loads: this.#loads,
      paths: this.#paths,
      pathChecker: this.#pathChecker,
      instanceCount: () => this.#membership.presentCount,
      isDraining: () => this.#drain.state.kind !== 'serving',
      logger,
      metrics,
    });
    this.#ends = new CrashDetector({
      directory: this.#fleet.targets,
      check: (target) => this.#pathChecker.checkTarget(target),
      logger,
      metrics,
    });
    this.#quarantine = new RequestQuarantine({
      crashDetector: this.#ends,
      loads: this.#loads,
      logger,
      metrics,
    });
    this.#quarantineLedger = new QuarantineLedger({
      store,
      quarantine: this.#quarantine,
      logger,
    });
    this.#quarantineSharing = new QuarantineSharing({
      quarantine: this.#quarantine,
      peers: this.#peers,
      ledger: this.#quarantineLedger,
    });
    const storage = new StorageDirectory({ logger });
    this.#turns = new RetainedTurns({
      directory: storage,
      toleratedLosses: settings.toleratedLosses,
      isListCurrent: () => this.#membership.isConfirmed,
      cacheBytes: settings.memoryBytes * TURN_CACHE_SHARE,
      logger,
      metrics,
    });
    this.#observation = new SharedObservation({
      store,
      instance: settings.instance,
      availabilityZone: settings.availabilityZone,
      source: new ObservationClient({ peers: this.#peers, counts: this.#counts }),
      rank: rankInstances,
      logger,
      metrics,
    });
    this.#membership = new Membership({
      store,
      storage,
      observation: this.#observation,
      instance: settings.instance,
      address: `${settings.peer.host}:${settings.peer.port}`,
      availabilityZone: settings.availabilityZone,
      logger,
      onChange: () => this.#onMembershipChanged(),
      ledger: this.#quarantineLedger,
    });
    this.#limits = new FleetLimits({
      fleet: this.#fleet,
      bounds: settings.bounds,
      peers: this.#peers,
      membership: this.#membership,
      logger,
      metrics,
    });
    this.#quotas = new SharedQuotas({
      peers: this.#peers,
      instance: settings.instance,
      rateLayout: () => this.#membership.rateLayout,
      windowSeconds: () => this.#reloadableSettings.quotaWindowSeconds,
      hasProgramStarted: async (programKey) =>
        this.#mayHaveEarlierPrograms && (await this.#budgets.hasProgramStarted(programKey)),
      metrics,
    });
    this.#budgets = new EscrowBudgets({
      store,
      logger,
      metrics,
      instance: settings.instance,
      memory: new GrantMemory(`${settings.instance}/${randomUUID()}`, settings.isFirstStart),
      peers: this.#peers,
      memberLists: this.#membership.history,
      stoodStillUntil: () => this.#stallClock.stalledUntilMilliseconds,
      programRetention: () =>
        computeProgramRetention(this.#fleet.index?.configuration.routes ?? []),
    });
    this.#originLedger = new OriginLedger({
      store,
      versions: this.#fleet.versions,
      instanceCount: () => this.#membership.presentCount,
      logger,
      metrics,
    });
    this.#origins = new OriginSharing({
      table: new OriginTable(),
      peers: this.#peers,
      ledger: this.#originLedger,
    });
    const retirementReporter = new RetirementReporter({
      store,
      codec: parts.fleetCodec,
      logger,
      rank: () => this.#membership.rank,
    });
    this.#follower = new FleetFollower({
      observation: this.#observation,
      bounds: settings.bounds,
      codec: parts.fleetCodec,
      state: this.#fleet,
      logger,
      metrics,
      onConfiguration: (configuration) => this.#onConfigurationChanged(configuration),
      onTargetsChanged: () => this.#onTargetsChanged(),
      onRetirement: (instance) => {
        void retirementReporter.report(instance);
      },
      onStoreLost: () => this.#budgets.recordStoreLoss(),
      onStoreRegained: () => {
        void this.#budgets.recordStoreRegained();
      },
    });
    const limitedDispatch = new LimitedDispatch({
      gate: this.#limits.gate,
      loads: this.#loads,
      instanceCount: () => this.#membership.presentCount,
      logger,
      metrics,
    });
    const runner = new CallRunner({
      codec,
      connections: this.#connections,
      access: new TargetAccess({
        paths: this.#paths,
        checker: this.#pathChecker,
        forwarding: this.#forwarding,
      }),
      loads: this.#loads,
      limits: this.#limits.named,
      prefixes: this.#prefixes,
      speeds: this.#speeds,
      capacities: this.#capacities,
      writer,
      buffers: this.#buffers,
      fleet: this.#fleet,
      availabilityZone: settings.availabilityZone,
      logger,
      metrics,
      quarantine: this.#quarantine,
      limitedDispatch,
      eligibility: new CallEligibility({ fleet: this.#fleet, settings, logger, metrics }),
      origins: this.#origins,
      instanceCount: () => this.#membership.presentCount,
      instanceZones: () => this.#membership.presentZones,
    });
    this.#calls = new CallGateway({
      codec,
      fleet: this.#fleet,
      quotas: this.#quotas,
      budgets: this.#budgets,
      runner,
      writer,
      openCalls: this.#openCalls,
      quarantine: this.#quarantine,
      resumptions: new ResumptionGate({
        sharing: this.#origins,
        versions: this.#fleet.versions,
        store,
        codec: parts.fleetCodec,
        logger,
        metrics,
      }),
      turnRetention: new TurnRetention(this.#turns),
      programStarts: new ProgramStarts({
        fleet: this.#fleet,
        gate: this.#limits.namedGate,
        loads: this.#loads,
        speeds: this.#speeds,
        instanceCount: () => this.#membership.presentCount,
        isAnyLimited: () => this.#limits.named.isAnyLimited,
        hasStarted: (programKey) => this.#budgets.isProgramKnown(programKey),
        logger,
        metrics,
      }),
      shedding: new LoadShedding({
        load: this.#ingressLoad,
        mayHaveStarted: (programKey) =>
          (!settings.isFirstStart && this.#mayHaveEarlierPrograms) ||
          this.#budgets.isProgramKnown(programKey),
        metrics,
      }),
      findUnfinished: (response) => this.overload.callers.findUnfinished(response),
      maximumRunning: this.overload.maximumRunning,
      admitDuringDrain: (remainingMilliseconds) => this.#drain.admit(remainingMilliseconds),
      logger,
      metrics,
    });
  }

  /** Applies the settings that may change while the instance runs. */
  reload({ graceMilliseconds, quotaWindowSeconds }: ReloadableSettings): void {
    this.#reloadableSettings = { graceMilliseconds, quotaWindowSeconds };
    this.#quotas.apply(this.#fleet.index?.configuration);
  }

  /** Serves until the signal aborts, then finishes requests under way within the grace period. */
  async run(signal: AbortSignal): Promise<void> {
    const { logger, settings } = this.#parts;
    logger.info('gateway.starting', {
      startMilliseconds: Math.round(process.uptime() * MILLISECONDS_PER_SECOND),
      isFirstStart: settings.isFirstStart,
    });
    if (signal.aborted) return;
    const stopped = once(signal, 'abort');
    await this.#start();
    logger.info('gateway.started', {
      availabilityZone: settings.availabilityZone,
      startMilliseconds: Math.round(process.uptime() * MILLISECONDS_PER_SECOND),
    });
    const stopping = new AbortController();
    const supervised = this.#supervisor.run(stopping.signal);
    try {
      await Promise.race([supervised, stopped]);
    } finally {
      // Callers get their responses even if a task of the gateway has failed.
      await this.#drain.run();
      stopping.abort();
      await supervised.catch(() => undefined);
      await this.#stop();
    }
  }

  async #start(): Promise<void> {
    const { settings, logger, metrics } = this.#parts;
    // The configuration is read while the servers start, so that it is available to the first
    // request.
    const tasks = [
      ...this.#follower.tasks,
      ...this.#membership.tasks,
      this.#observation.task,
      this.#quarantineLedger.task,
      this.#originLedger.task,
      this.#stallClock.task,
      this.#limits.sharing.task,
      this.#pathChecker.task,
      createEventLoopMonitor({ logger, metrics }),
      createWorkReport({ counts: this.#counts, logger }),
      this.#ingressLoad.task,
      this.overload.task,
    ];
    if (!settings.isFirstStart) tasks.push(createMemoryTask(this.#budgets));
    for (const task of tasks) {
      await this.#supervisor.startChild(task);
    }
    this.#readiness = await IngressServer.start({
      ...settings.readiness,
      guard: this.overload.readiness,
      handle: (request, response) => this.#serveReadiness(request, response),
    });
    this.#ingress = await IngressServer.start({
      ...settings.entry,
      guard: this.overload.callers,
      handle: (request, response) => this.#calls.serve(request, response),
      observer: this.#ingressLoad,
      refuse: (request, response) => this.#calls.refuseUnderLoad(request, response),
    });
    this.#peerListener = await HttpListener.start({
      ...settings.peer,
      guard: this.overload.peers,
      idleMilliseconds: PEER_IDLE_MILLISECONDS,
      listener: createFleetListener({
        quotas: this.#quotas,
        budgets: this.#budgets,
        quarantine: this.#quarantineSharing,
        limitGate: this.#limits.gate,
        limitSharing: this.#limits.sharing,
        origins: this.#origins,
        fleet: this.#fleet,
        pathChecker: this.#pathChecker,
        forwarder: this.#forwarder,
        observation: this.#observation,
      }),
    });
  }

  async #stop(): Promise<void> {
    await Promise.allSettled([
      this.#ingress?.stop(),
      this.#readiness?.stop(),
      this.#connections.close(),
      this.#peerListener?.close(),
    ]);
    this.#peers.close();
    this.#turns.close();
  }

  async #serveReadiness(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const isKnown = request.url === this.#parts.settings.readinessPath;
    const isServing = this.#drain.state.kind === 'serving';
    const canReachTargets = !this.#paths.isIsolated || this.#forwarding.isAvailable;
    const isReady =
      isServing &&
      this.#fleet.index !== undefined &&
      !this.#budgets.isUnavailable &&
      canReachTargets;
    // A check has no body; that of another request is not read.
    const closing = request.complete ? {} : { connection: 'close' };
    response.writeHead(isKnown && isReady ? 200 : 503, { 'content-length': 0, ...closing });
    response.end();
  }

  /** Address at which callers are accepted; undefined before the start and during a shutdown. */
  get #entryAddress(): ProbeAddress | undefined {
    const isServing = this.#drain.state.kind === 'serving';
    if (!this.#ingress || !isServing) return undefined;
    return { host: this.#parts.settings.entry.host, port: this.#ingress.port };
  }

  /** Whether programs that started before this process may still be under way. */
  get #mayHaveEarlierPrograms(): boolean {
    return process.uptime() * MILLISECONDS_PER_SECOND < LONGEST_PROGRAM_MILLISECONDS;
  }

  #onConfigurationChanged(configuration: FleetConfiguration): void {
    this.#ingress?.setTimeouts(configuration.limits);
    this.overload.apply(configuration.limits);
    this.#quotas.apply(configuration);
  }

  #onMembershipChanged(): void {
    this.#peers.setPeers(this.#membership.peers);
    this.#observation.setFleet(this.#membership.observingFleet);
    this.#quotas.apply(this.#fleet.index?.configuration);
  }

  #onTargetsChanged(): void {
    const isKnown = (id: string): boolean => this.#fleet.targets.get(id) !== undefined;
    [this.#connections, this.#loads, this.#buffers, this.#speeds].forEach((part) =>
      part.retain(isKnown),
    );
    const incarnationKeys = new Set(this.#fleet.targets.all.map(getIncarnationKey));
    [this.#paths, this.#capacities].forEach((part) =>
      part.retain((key) => incarnationKeys.has(key)),
    );
    this.#limits.retainAnnounced();
    this.#ends.checkAnnouncements();
    this.#fleet.versions.observe(this.#fleet.targets.all);
    this.#originLedger.wake();
  }
}
