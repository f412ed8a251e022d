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
import { delay, Supervisor } from '@limpetnotch/supervision';
import type { ChildSpecification } from '@limpetnotch/supervision';
import { CallDesk } from '../entry/callDesk';
import { CallRelay } from '../entry/callRelay';
import { DeclaredAdmission } from '../entry/declaredAdmission';
import { OpenCalls } from '../entry/openCalls';
import { RateGate } from '../entry/rateGate';
import { ProgramRequests } from '../entry/programRequests';
import { EntryServer } from '../http/entryServer';
import { CallOwner } from '../owner/callOwner';
import { OwnedPartition } from '../owner/ownedPartition';
import { ProgramDesk } from '../owner/programDesk';
import { ConnectPeerChannel } from '../peers/connectPeerChannel';
import { ConnectSliceSource } from '../peers/connectSliceSource';
import { ControlDesk } from '../peers/controlDesk';
import { Heartbeats } from '../peers/heartbeats';
import { PEER_ROOT_KEY, PeerConfiguration } from '../peers/peerConfiguration';
import { PartitionDirectory } from '../peers/partitionDirectory';
import { peerHandlers } from '../peers/peerHandlers';
import { WitnessDesk } from '../peers/witnessDesk';
import type { Settings } from '../settings';
import { EngineControl } from '../targets/engineControl';
import { EngineMonitor } from '../targets/engineMonitor';
import { NewConnectionProbe } from '../targets/newConnectionProbe';
import { TargetClient } from '../targets/targetClient';
import { followFleet } from './followFleet';
import { endIdlePrograms } from './endIdlePrograms';
import { identityOf } from './identityOf';
import { InstanceReadiness } from './instanceReadiness';
import { MemoryRelease } from './memoryRelease';
import { operatorDeskOf } from './operatorDeskOf';
import { PartitionStates } from './partitionStates';
import { platformListOf } from './platformList';
import { startedChild } from './startedChild';

const MILLISECONDS_PER_SECOND = 1_000;
const PROBE_INTERVAL_MILLISECONDS = 1_000;

/** What an instance is built from. */
export interface InstanceOptions {
  readonly settings: Settings;
  readonly store: KeyValueStore;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
}

/** One instance: all its parts, wired together, under one supervisor. */
export class Instance {
  readonly #options: InstanceOptions;

  readonly #supervisor: Supervisor;

  readonly #clients = new PeerClients();

  readonly #targets = new TargetClient();

  readonly #engines = new EngineControl();

  readonly #openCalls = new OpenCalls();

  readonly #follower: ConfigurationFollower;

  readonly #admission: DeclaredAdmission;

  readonly #scheduler: Scheduler;

  readonly #partitions: PartitionManager;

  readonly #owner: CallOwner;

  readonly #programs: ProgramDesk;

  readonly #heartbeats: Heartbeats;

  readonly #readiness: InstanceReadiness;

  readonly #limiter: RateLimiter;

  constructor(options: InstanceOptions) {
    const { settings, store, logger, metrics, tracing } = options;
    const shared = { logger, metrics };
    const configuration = (): Configuration => this.#follower.current();
    const partition = (number: number): OwnedPartition | undefined => this.#owned(number);
    this.#options = options;
    this.#supervisor = new Supervisor({ name: 'instance', ...shared });
    this.#follower = new ConfigurationFollower({
      store,
      ...shared,
      peers: new PeerConfiguration({
        clients: this.#clients,
        addresses: () => this.#heartbeats.addresses(),
      }),
    });
    this.#admission = new DeclaredAdmission(configuration);
    this.#scheduler = createScheduler({
      instance: settings.instance,
      ...shared,
      settings: schedulerSettingsSchema.parse({ availabilityZone: settings.availabilityZone }),
      policy: { kind: 'limpetnotch' },
    });
    this.#partitions = new PartitionManager({
      store,
      ...shared,
      identity: identityOf(settings),
      partitionCount: PARTITION_COUNT,
      handler: new PartitionStates({
        configuration,
        mayAct: (number) => this.#partitions.mayAct(number),
        ...shared,
      }),
      peers: new ConnectPeerChannel(this.#clients),
      instanceList: platformListOf(store, metrics),
      settings: {
        leaseMilliseconds: settings.leaseSeconds * MILLISECONDS_PER_SECOND,
        fleetWritesPerSecond: settings.fleetWritesPerSecond,
      },
    });
    this.#owner = new CallOwner({
      configuration,
      partition,
      scheduler: this.#scheduler,
      onServed: (organisation) => this.#reportService(organisation),
      targets: this.#targets,
      ...shared,
      tracer: tracing.tracer,
    });
    this.#programs = new ProgramDesk({ partition, scheduler: this.#scheduler });
    this.#heartbeats = new Heartbeats({
      membership: this.#partitions.membership,
      clients: this.#clients,
      content: this.#heartbeatContent(),
      ...shared,
    });
    this.#readiness = new InstanceReadiness({
      lastConfirmedMilliseconds: () => this.#follower.lastConfirmedMilliseconds(),
      hearsMajority: () => this.#heartbeats.hearsMajority(),
      hasConfiguration: () => this.#follower.current().revision > 0,
    });
    this.#limiter = this.#newLimiter();
    this.#follower.onChange((next) => this.#applyConfiguration(next));
  }

  /** Starts all parts in order; resolves when the instance serves, or when the signal aborts. */
  async start(signal: AbortSignal): Promise<void> {
    await this.#supervisor.startChildren(this.#children(), signal);
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

  #children(): readonly ChildSpecification[] {
    const memory = new MemoryRelease({
      configuration: () => this.#follower.current(),
      owned: () => this.#allOwned(),
      isOwned: ({ partition, epoch }) => this.#owned(partition)?.epoch === epoch,
      mayAct: ({ partition }) => this.#partitions.mayAct(partition),
      engines: this.#engines,
      ...this.#shared(),
    });
    return [
      { name: 'configuration', restart: 'always', run: (child) => this.#follower.run(child) },
      startedChild('peer-server', async () => this.#startPeerServer()),
      { name: 'partitions', restart: 'always', run: (child) => this.#partitions.run(child) },
      { name: 'heartbeats', restart: 'always', run: async (child) => this.#heartbeats.run(child) },
      this.#limiter.asChild(),
      this.#fleetFollower(),
      this.#engineMonitor(),
      this.#prober().asChild(),
      ...memory.children(),
      {
        name: 'idle-programs',
        restart: 'always',
        run: async (child) =>
          endIdlePrograms({ owned: () => this.#allOwned(), ...this.#shared() }, child),
      },
      startedChild('handover', async () => Promise.resolve({ stop: async () => this.#handOver() })),
      startedChild('entry-server', async () => this.#startEntryServer()),
    ];
  }

  #shared(): { readonly logger: Logger; readonly metrics: Metrics } {
    const { logger, metrics } = this.#options;
    return { logger, metrics };
  }

  #fleetFollower(): ChildSpecification {
    const { store, metrics } = this.#options;
    const options = {
      membership: this.#partitions.membership,
      scheduler: this.#scheduler,
      list: platformListOf(store, metrics),
      onListedAsLeaving: () => this.#readiness.markDraining(),
    };
    return { name: 'fleet', restart: 'always', run: async (child) => followFleet(options, child) };
  }

  #engineMonitor(): ChildSpecification {
    const monitor = new EngineMonitor({
      configuration: () => this.#follower.current(),
      scheduler: this.#scheduler,
      engines: this.#engines,
      ...this.#shared(),
    });
    return { name: 'engine-monitor', restart: 'always', run: async (child) => monitor.run(child) };
  }

  #prober(): TargetProber {
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
      service: peerHandlers({
        owner: this.#owner,
        programs: this.#programs,
        control: new ControlDesk({ heartbeats: this.#heartbeats, lend: this.#lend }),
        witness: new WitnessDesk(this.#partitions),
        configurationValue: (key) =>
          key === PEER_ROOT_KEY ? this.#follower.rootValue() : this.#follower.value(key),
      }),
    });
    return { stop: async () => server.close() };
  }

  async #startEntryServer(): Promise<{ stop(): Promise<void> }> {
    const { settings, metrics, tracing } = this.#options;
    const directory = new PartitionDirectory({
      partitions: this.#partitions,
      owner: this.#owner,
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
      calls: new CallDesk({
        admission,
        rates: new RateGate(this.#limiter),
        relay: new CallRelay({ directory, metrics }),
        openCalls: this.#openCalls,
        readiness: this.#readiness,
        revision: () => this.#follower.current().revision,
        metrics,
        tracer: tracing.tracer,
      }),
      operator: operatorDeskOf({
        settings,
        partitions: this.#partitions,
        scheduler: this.#scheduler,
        readiness: this.#readiness,
        configuration: () => this.#follower.current(),
        callsUnderWay: () => this.#openCalls.size + this.#owner.runningCalls,
      }),
    });
    return { stop: async () => this.#drainEntry(server) };
  }

  /** Fails readiness and outlasts the balancer's lag before the listener closes. */
  async #drainEntry(server: EntryServer): Promise<void> {
    this.#readiness.markDraining();
    this.#options.logger.info('instance.draining');
    await delay(this.#options.settings.drainSeconds * MILLISECONDS_PER_SECOND);
    await server.stop();
  }

  /** Hands the partitions over once their calls have ended. */
  async #handOver(): Promise<void> {
    const notHandedOver = await this.#partitions.drain();
    await this.#owner.drain();
    this.#options.logger.info('instance.handed-over', { notHandedOver });
  }

  #heartbeatContent(): ConstructorParameters<typeof Heartbeats>[0]['content'] {
    return {
      revision: () => this.#follower.current().revision,
      noteRevision: (revision) => this.#follower.noteRevision(revision),
      quarantine: () => this.#scheduler.listQuarantine(),
      importQuarantine: (entries) => this.#scheduler.importQuarantine(entries),
    };
  }

  #applyConfiguration(configuration: Configuration): void {
    this.#scheduler.applyConfiguration(configuration);
    const cut = this.#openCalls.cutKeys((identity) => this.#admission.isInForce(identity));
    if (cut > 0) this.#options.metrics.increment('entry.calls-cut-by-key', cut);
  }

  #newLimiter(): RateLimiter {
    const { membership } = this.#partitions;
    const source = new ConnectSliceSource({
      entry: membership.identity.incarnation,
      ownershipOf: (partition) => this.#partitions.ownershipOf(partition),
      lend: this.#lend,
      clients: this.#clients,
    });
    const limiter = new RateLimiter({
      source,
      rateOf: (organisation) => this.#follower.current().organisations.get(organisation)?.rate,
      groupOf: (organisation) => source.groupOf(organisation),
      ...this.#shared(),
    });
    limiter.onRemoteService((organisation, tokens) =>
      this.#scheduler.addRemoteService(organisation, tokens),
    );
    return limiter;
  }

  /** Lends slices of the rates whose partitions this instance owns. */
  readonly #lend = (entry: string, demands: readonly SliceDemand[]): readonly SliceGrant[] =>
    demands.flatMap(
      (demand) =>
        this.#owned(partitionOf(demand.organisation))?.rates.exchange(entry, [demand]) ?? [],
    );

  #reportService(organisation: string): void {
    this.#limiter.reportService(organisation, this.#scheduler.takeLocalService(organisation));
  }

  #owned(partition: number): OwnedPartition | undefined {
    const state = this.#partitions.stateOf(partition);
    return state instanceof OwnedPartition ? state : undefined;
  }

  #allOwned(): readonly OwnedPartition[] {
    return Array.from({ length: PARTITION_COUNT }, (_, partition) => this.#owned(partition)).filter(
      (owned): owned is OwnedPartition => owned !== undefined,
    );
  }
}
