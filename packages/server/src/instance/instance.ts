import { RateLimiter } from '@limpetnotch/admission';
import type { SliceDemand, SliceGrant } from '@limpetnotch/admission';
import type { Logger, Metrics, Tracing } from '@limpetnotch/observability';
import { ConfigurationFollower } from '@limpetnotch/declarations';
import type { Configuration } from '@limpetnotch/declarations';
import { PARTITION_COUNT, PartitionManager, partitionOf } from '@limpetnotch/partitions';
import { PeerClients, PeerServer } from '@limpetnotch/peer-protocol';
import type { KeyValueStore } from '@limpetnotch/store';
import { createScheduler, schedulerSettingsSchema, TargetProber } from '@limpetnotch/scheduling';
import type { Scheduler } from '@limpetnotch/scheduling';
import { createEventLoopMonitor, delay, Supervisor } from '@limpetnotch/supervision';
import type { ChildSpecification } from '@limpetnotch/supervision';
import { CallService } from '../entry/callService';
import { CallRelay } from '../entry/callRelay';
import { DeclaredAdmission } from '../entry/declaredAdmission';
import { ActiveCalls } from '../entry/activeCalls';
import { CallRateLimiter } from '../entry/callRateLimiter';
import { ProgramRequests } from '../entry/programRequests';
import { EntryServer } from '../http/entryServer';
import { CallOwner } from '../owner/callOwner';
import { OwnedPartition } from '../owner/ownedPartition';
import { ProgramService } from '../owner/programService';
import { ConnectPeerChannel } from '../peers/connectPeerChannel';
import { ConnectSliceSource } from '../peers/connectSliceSource';
import { ControlHandler } from '../peers/controlHandler';
import { Heartbeats } from '../peers/heartbeats';
import { PEER_ROOT_KEY, PeerConfiguration } from '../peers/peerConfiguration';
import { PartitionDirectory } from '../peers/partitionDirectory';
import { createPeerHandlers } from '../peers/createPeerHandlers';
import { WitnessHandler } from '../peers/witnessHandler';
import type { Settings } from '../settings';
import { EngineControl } from '../targets/engineControl';
import { EngineMonitor } from '../targets/engineMonitor';
import { NewConnectionProbe } from '../targets/newConnectionProbe';
import { TargetClient } from '../targets/targetClient';
import { followFleet } from './followFleet';
import { endIdlePrograms } from './endIdlePrograms';
import { createIdentity } from './createIdentity';
import { InstanceReadiness } from './instanceReadiness';
import { MemoryRelease } from './memoryRelease';
import { createOperatorService } from './createOperatorService';
import { PartitionStateFactory } from './partitionStateFactory';
import { createPlatformList } from './createPlatformList';
import { createServiceChild } from './createServiceChild';

const MILLISECONDS_PER_SECOND = 1_000;
const PROBE_INTERVAL_MILLISECONDS = 1_000;

/** Options of {@link Instance}. */
export interface InstanceOptions {
  readonly settings: Settings;
  readonly store: KeyValueStore;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
}

/** One instance: creates its components and runs them under one supervisor. */
export class Instance {
  readonly #options: InstanceOptions;

  readonly #supervisor: Supervisor;

  readonly #clients = new PeerClients();

  readonly #targets = new TargetClient();

  readonly #engines = new EngineControl();

  readonly #activeCalls = new ActiveCalls();

  readonly #follower: ConfigurationFollower;

  readonly #admission: DeclaredAdmission;

  readonly #scheduler: Scheduler;

  readonly #partitions: PartitionManager;

  readonly #callOwner: CallOwner;

  readonly #programs: ProgramService;

  readonly #heartbeats: Heartbeats;

  readonly #readiness: InstanceReadiness;

  readonly #rateLimiter: RateLimiter;

  constructor(options: InstanceOptions) {
    const { settings, store, logger, metrics, tracing } = options;
    const observability = { logger, metrics };
    const getConfiguration = (): Configuration => this.#follower.current();
    const getOwnedPartition = (number: number): OwnedPartition | undefined =>
      this.#getOwnedPartition(number);
    this.#options = options;
    this.#supervisor = new Supervisor({ name: 'instance', ...observability });
    this.#follower = new ConfigurationFollower({
      store,
      ...observability,
      peers: new PeerConfiguration({
        clients: this.#clients,
        listAddresses: () => this.#heartbeats.listAddresses(),
      }),
    });
    this.#admission = new DeclaredAdmission(getConfiguration);
    this.#scheduler = createScheduler({
      instance: settings.instance,
      ...observability,
      settings: schedulerSettingsSchema.parse({ availabilityZone: settings.availabilityZone }),
      policy: { kind: 'limpetnotch' },
    });
    this.#partitions = new PartitionManager({
      store,
      ...observability,
      identity: createIdentity(settings),
      partitionCount: PARTITION_COUNT,
      handler: new PartitionStateFactory({
        getConfiguration,
        mayAct: (number) => this.#partitions.mayAct(number),
        ...observability,
      }),
      peers: new ConnectPeerChannel(this.#clients),
      instanceList: createPlatformList(store, metrics),
      settings: {
        leaseMilliseconds: settings.leaseSeconds * MILLISECONDS_PER_SECOND,
        fleetWritesPerSecond: settings.fleetWritesPerSecond,
      },
    });
    this.#callOwner = new CallOwner({
      getConfiguration,
      getOwnedPartition,
      scheduler: this.#scheduler,
      onServed: (organisation) => this.#reportService(organisation),
      targets: this.#targets,
      ...observability,
      tracer: tracing.tracer,
    });
    this.#programs = new ProgramService({
      getOwnedPartition,
      scheduler: this.#scheduler,
    });
    this.#heartbeats = new Heartbeats({
      membership: this.#partitions.membership,
      clients: this.#clients,
      content: this.#createHeartbeatContent(),
      ...observability,
    });
    this.#readiness = new InstanceReadiness({
      lastConfirmedMilliseconds: () => this.#follower.lastConfirmedMilliseconds(),
      isConfirmedByMajority: () => this.#heartbeats.isConfirmedByMajority(),
      hasConfiguration: () => this.#follower.current().revision > 0,
    });
    this.#rateLimiter = this.#createLimiter();
    this.#follower.onChange((next) => this.#applyConfiguration(next));
  }

  /** Starts all components in order; resolves when the instance serves or the signal aborts. */
  async start(signal: AbortSignal): Promise<void> {
    await this.#supervisor.startChildren(this.#createChildren(), signal);
    if (signal.aborted) return;
    this.#readiness.markStarted();
    this.#options.logger.info('instance.started', {
      entryPort: this.#options.settings.entryPort,
    });
  }

  /** Runs until the signal aborts, then shuts down gracefully. */
  async run(signal: AbortSignal): Promise<void> {
    await this.#supervisor.run(signal);
    this.#clients.close();
    await Promise.all([this.#targets.close(), this.#engines.close()]);
    this.#options.logger.info('instance.stopped');
  }

  #createChildren(): readonly ChildSpecification[] {
    const memoryRelease = new MemoryRelease({
      getConfiguration: () => this.#follower.current(),
      listOwnedPartitions: () => this.#listOwnedPartitions(),
      isOwned: ({ partition, epoch }) => this.#getOwnedPartition(partition)?.epoch === epoch,
      mayAct: ({ partition }) => this.#partitions.mayAct(partition),
      engines: this.#engines,
      ...this.#getObservability(),
    });
    return [
      { name: 'configuration', restart: 'always', run: (child) => this.#follower.run(child) },
      createServiceChild('peer-server', async () => this.#startPeerServer()),
      { name: 'partitions', restart: 'always', run: (child) => this.#partitions.run(child) },
      { name: 'heartbeats', restart: 'always', run: async (child) => this.#heartbeats.run(child) },
      this.#rateLimiter.asChild(),
      this.#createFleetFollower(),
      this.#createEngineMonitor(),
      this.#createProber().asChild(),
      ...memoryRelease.createChildren(),
      createEventLoopMonitor(this.#getObservability()),
      {
        name: 'idle-programs',
        restart: 'always',
        run: async (child) =>
          endIdlePrograms(
            { listOwnedPartitions: () => this.#listOwnedPartitions(), ...this.#getObservability() },
            child,
          ),
      },
      createServiceChild('handover', async () =>
        Promise.resolve({ stop: async () => this.#handOver() }),
      ),
      createServiceChild('entry-server', async () => this.#startEntryServer()),
    ];
  }

  #getObservability(): { readonly logger: Logger; readonly metrics: Metrics } {
    const { logger, metrics } = this.#options;
    return { logger, metrics };
  }

  #createFleetFollower(): ChildSpecification {
    const { store, metrics } = this.#options;
    const options = {
      membership: this.#partitions.membership,
      scheduler: this.#scheduler,
      instanceList: createPlatformList(store, metrics),
      onListedAsLeaving: () => this.#readiness.markDraining(),
    };
    return { name: 'fleet', restart: 'always', run: async (child) => followFleet(options, child) };
  }

  #createEngineMonitor(): ChildSpecification {
    const monitor = new EngineMonitor({
      getConfiguration: () => this.#follower.current(),
      scheduler: this.#scheduler,
      engines: this.#engines,
      ...this.#getObservability(),
    });
    return { name: 'engine-monitor', restart: 'always', run: async (child) => monitor.run(child) };
  }

  #createProber(): TargetProber {
    return new TargetProber({
      scheduler: this.#scheduler,
      port: new NewConnectionProbe(() => this.#follower.current()),
      intervalMilliseconds: PROBE_INTERVAL_MILLISECONDS,
    });
  }

  async #startPeerServer(): Promise<{ stop(): Promise<void> }> {
    const { settings } = this.#options;
    const server = await PeerServer.start({
      host: settings.peerHost,
      port: settings.peerPort,
      service: createPeerHandlers({
        owner: this.#callOwner,
        programs: this.#programs,
        control: new ControlHandler({ heartbeats: this.#heartbeats, lendSlices: this.#lendSlices }),
        witness: new WitnessHandler(this.#partitions),
        getConfigurationValue: (key) =>
          key === PEER_ROOT_KEY ? this.#follower.rootValue() : this.#follower.findValue(key),
      }),
    });
    return { stop: async () => server.close() };
  }

  async #startEntryServer(): Promise<{ stop(): Promise<void> }> {
    const { settings, metrics, tracing } = this.#options;
    const directory = new PartitionDirectory({
      partitions: this.#partitions,
      owner: this.#callOwner,
      programs: this.#programs,
      clients: this.#clients,
    });
    const admission = this.#admission;
    const programs = new ProgramRequests(directory);
    const server = await EntryServer.start({
      host: settings.entryHost,
      port: settings.entryPort,
      maximumBodyBytes: settings.maximumBodyBytes,
      admission,
      programs,
      readiness: this.#readiness,
      calls: new CallService({
        admission,
        rateLimiter: new CallRateLimiter(this.#rateLimiter),
        relay: new CallRelay({ directory, metrics }),
        activeCalls: this.#activeCalls,
        readiness: this.#readiness,
        getRevision: () => this.#follower.current().revision,
        metrics,
        tracer: tracing.tracer,
      }),
      operator: createOperatorService({
        settings,
        partitions: this.#partitions,
        scheduler: this.#scheduler,
        readiness: this.#readiness,
        getConfiguration: () => this.#follower.current(),
        countActiveCalls: () => this.#activeCalls.size + this.#callOwner.runningCalls,
      }),
    });
    return { stop: async () => this.#drainEntry(server) };
  }

  /**
   * Fails readiness, and closes the listener only once the load balancer has had time to notice.
   */
  async #drainEntry(server: EntryServer): Promise<void> {
    this.#readiness.markDraining();
    this.#options.logger.info('instance.draining');
    await delay(this.#options.settings.drainSeconds * MILLISECONDS_PER_SECOND);
    await server.stop();
  }

  /** Drains and hands over the partitions, then waits for the calls in progress. */
  async #handOver(): Promise<void> {
    const notHandedOver = await this.#partitions.drain();
    await this.#callOwner.drain();
    this.#options.logger.info('instance.handed-over', { notHandedOver });
  }

  #createHeartbeatContent(): ConstructorParameters<typeof Heartbeats>[0]['content'] {
    return {
      getRevision: () => this.#follower.current().revision,
      recordRevision: (revision) => this.#follower.reportPeerRevision(revision),
      listQuarantine: () => this.#scheduler.listQuarantine(),
      importQuarantine: (entries) => this.#scheduler.importQuarantine(entries),
    };
  }

  #applyConfiguration(configuration: Configuration): void {
    this.#scheduler.applyConfiguration(configuration);
    const abortedCalls = this.#activeCalls.abortWithdrawnKeys((identity) =>
      this.#admission.isInForce(identity),
    );
    if (abortedCalls > 0) this.#options.metrics.increment('entry.calls-cut-by-key', abortedCalls);
  }

  #createLimiter(): RateLimiter {
    const { membership } = this.#partitions;
    const source = new ConnectSliceSource({
      entry: membership.identity.incarnation,
      getOwnership: (partition) => this.#partitions.ownershipOf(partition),
      lendSlices: this.#lendSlices,
      clients: this.#clients,
    });
    const limiter = new RateLimiter({
      source,
      rateOf: (organisation) => this.#follower.current().organisations.get(organisation)?.rate,
      groupOf: (organisation) => source.getGroup(organisation),
      ...this.#getObservability(),
    });
    limiter.onRemoteService((organisation, tokens) =>
      this.#scheduler.addRemoteService(organisation, tokens),
    );
    return limiter;
  }

  /** Lends slices of the rates whose partitions this instance owns. */
  readonly #lendSlices = (entry: string, demands: readonly SliceDemand[]): readonly SliceGrant[] =>
    demands.flatMap(
      (demand) =>
        this.#getOwnedPartition(partitionOf(demand.organisation))?.rates.exchange(entry, [
          demand,
        ]) ?? [],
    );

  #reportService(organisation: string): void {
    this.#rateLimiter.reportService(organisation, this.#scheduler.takeLocalService(organisation));
  }

  #getOwnedPartition(partition: number): OwnedPartition | undefined {
    const state = this.#partitions.stateOf(partition);
    return state instanceof OwnedPartition ? state : undefined;
  }

  #listOwnedPartitions(): readonly OwnedPartition[] {
    return Array.from({ length: PARTITION_COUNT }, (_, partition) =>
      this.#getOwnedPartition(partition),
    ).filter((owned): owned is OwnedPartition => owned !== undefined);
  }
}
