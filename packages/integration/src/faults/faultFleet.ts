import type { Declaration } from '@limpetnotch/declarations';
import { buildConfiguration, ConfigurationPublisher } from '@limpetnotch/declarations';
import { PARTITION_COUNT, partitionOf } from '@limpetnotch/partitions';
import type { KeyValueStore } from '@limpetnotch/store';
import { createEtcdStore } from '@limpetnotch/store';
import type { EngineOptions } from '@limpetnotch/stand-ins';
import {
  CollectorStandIn,
  EngineStandIn,
  EntryCaller,
  StoreStandIn,
  ToolStandIn,
} from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import { request } from 'undici';
import { z } from 'zod';
import { Fleet } from '../fleet/fleet';
import { findFreePorts } from '../fleet/findFreePorts';
import type { ManagedProcess } from '../fleet/managedProcess';
import { waitUntil } from '../fleet/waitUntil';
import type { CallerKey, TargetAddresses } from './faultDeclarations';

const OPERATOR_TOKEN = 'fault-matrix-operator-token';
const HEALTHY_TIMEOUT_MILLISECONDS = 30_000;
const POLL_INTERVAL_MILLISECONDS = 100;
const MEMORY_RELEASE_MILLISECONDS = 8_000;
const OWNER_TIMEOUT_MILLISECONDS = 5_000;
const ENGINE_SETTINGS: EngineOptions = {
  tokensPerSecond: 40,
  restartMilliseconds: 1_500,
  fencingScope: 'subject',
};
const INSTANCE_ARGUMENTS = ['--lease-seconds', '1', '--drain-seconds', '0.2'];

const effectSchema = z.object({ effect: z.string() });

const statusSchema = z.object({ partitions: z.array(z.number().int()) });

/** Kills a fleet's processes when this process exits, so that none is left running. */
const killAtExit = (fleet: Fleet): void => {
  const kill = (): void => {
    void fleet.kill();
  };
  process.once('exit', kill);
  (['SIGINT', 'SIGTERM', 'SIGHUP', 'SIGQUIT'] as const).forEach((signal) =>
    process.once(signal, () => {
      kill();
      process.kill(process.pid, signal);
    }),
  );
};

/** Options of {@link FaultFleet.start}. */
export interface FaultFleetOptions {
  readonly instances: number;
  readonly engines: number;
  readonly model: string;
  readonly keys: readonly CallerKey[];
  /** Builds the declarations. */
  createDeclarations(
    addresses: TargetAddresses,
    keys: readonly CallerKey[],
    withdrawn: ReadonlySet<string>,
  ): readonly Declaration[];
}

/** Stand-ins in this process, and instances as child processes that can be killed and paused. */
export class FaultFleet {
  readonly store = new StoreStandIn();

  readonly tool = new ToolStandIn();

  readonly engines: readonly EngineStandIn[];

  readonly collector = new CollectorStandIn();

  readonly caller = new EntryCaller();

  readonly #withdrawnKeys = new Set<string>();

  #reportedFailures = 0;

  readonly #fleet: Fleet;

  readonly #storeClient: KeyValueStore;

  readonly #options: FaultFleetOptions;

  private constructor(fleet: Fleet, client: KeyValueStore, options: FaultFleetOptions) {
    this.#fleet = fleet;
    this.#storeClient = client;
    this.#options = options;
    this.engines = Array.from(
      { length: options.engines },
      () => new EngineStandIn({ ...ENGINE_SETTINGS, models: [options.model] }),
    );
  }

  /** Starts the stand-ins, publishes the declarations and starts the instances. */
  static async start(options: FaultFleetOptions): Promise<FaultFleet> {
    const { instances } = options;
    const ports = await findFreePorts(2 * instances + 2);
    const [storePort = 0, collectorPort = 0, ...rest] = ports;
    const fleet = new Fleet({
      storePort,
      instances: Array.from({ length: instances }, (_, index) => ({
        entry: rest[2 * index] ?? 0,
        peer: rest[2 * index + 1] ?? 0,
      })),
      enginePorts: [],
      engineSettings: {},
      toolPorts: [],
      operatorToken: OPERATOR_TOKEN,
      instanceArguments: [...INSTANCE_ARGUMENTS, '--statsd', `127.0.0.1:${collectorPort}`],
    });
    const client = createEtcdStore({ endpoints: [fleet.storeAddress] });
    const faultFleet = new FaultFleet(fleet, client, options);
    killAtExit(fleet);
    await faultFleet.#startStandIns(storePort, collectorPort);
    await faultFleet.publish();
    fleet.startInstances();
    await faultFleet.waitUntilHealthy();
    return faultFleet;
  }

  get instances(): number {
    return this.#options.instances;
  }

  get keys(): readonly CallerKey[] {
    return this.#options.keys;
  }

  /** Returns the address of an instance's entry. */
  entry(index: number): string {
    return this.#fleet.entryAddresses[index] ?? '';
  }

  process(index: number): ManagedProcess {
    return this.#fleet.process(`entry-${index + 1}`);
  }

  /** Waits until an instance has exited and restarts it. */
  async restart(index: number): Promise<void> {
    await this.process(index).waitForExit();
    this.#fleet.startInstance(index);
  }

  /** Withdraws a key and publishes the change. */
  async withdrawKey(key: string): Promise<void> {
    this.#withdrawnKeys.add(key);
    await this.publish();
  }

  async publish(): Promise<void> {
    const addresses = {
      engines: this.engines.map((engine) => engine.server.address),
      tool: this.tool.server.address,
    };
    const declared = this.#options.createDeclarations(addresses, this.keys, this.#withdrawnKeys);
    const publisher = new ConfigurationPublisher(this.#storeClient);
    const configuration = buildConfiguration(0, declared);
    const published = await publisher.publish({ configuration, author: 'fault-matrix' });
    if (published.isErr()) throw new Error(`publish: ${JSON.stringify(published.error)}`);
  }

  /** Returns the partition of a root program. */
  getPartition(organisation: string, program: string): number {
    return partitionOf(`${organisation}/${program}`);
  }

  /** Waits until a partition has exactly one owner, as partitions move, and returns its index. */
  async waitForOwner(partition: number): Promise<number> {
    const deadline = performance.now() + OWNER_TIMEOUT_MILLISECONDS;
    for (;;) {
      const owner = await this.#findOwner(partition);
      if (owner !== undefined) return owner;
      if (performance.now() > deadline) throw new Error(`partition ${partition} has no owner`);
      await delay(POLL_INTERVAL_MILLISECONDS);
    }
  }

  async #findOwner(partition: number): Promise<number | undefined> {
    const owned = await Promise.all(
      Array.from({ length: this.instances }, (_, index) => this.#readOwnedPartitions(index)),
    );
    const owners = owned.flatMap((partitions, index) =>
      partitions.includes(partition) ? [index] : [],
    );
    return owners.length === 1 ? owners[0] : undefined;
  }

  /** Resolves when every instance is ready and each partition has one owner. */
  async waitUntilHealthy(): Promise<void> {
    await waitUntil('the fleet is healthy', HEALTHY_TIMEOUT_MILLISECONDS, () =>
      this.#isHealthy(),
    ).catch(async () => {
      throw new Error(`the fleet did not become healthy: ${await this.#describeState()}`);
    });
  }

  /** Returns the number of assertions that failed in any instance since the last call. */
  countNewAssertionFailures(): number {
    const total = this.collector.sumOfCounters((name) => name.includes('assertion-failures'));
    const newFailures = total - this.#reportedFailures;
    this.#reportedFailures = total;
    return newFailures;
  }

  /** Returns how often the tool executed an effect. */
  countExecutions(effect: string): number {
    return this.tool.executions.filter((execution) => {
      const body = effectSchema.safeParse(execution.body);
      return body.success && body.data.effect === effect;
    }).length;
  }

  /** Returns the secret of an organisation's first active key. */
  activeKey(organisation: string): string {
    const key = this.keys.find(
      (candidate) =>
        candidate.organisation === organisation && !this.#withdrawnKeys.has(candidate.name),
    );
    if (!key) throw new Error(`every key of ${organisation} was withdrawn`);
    return key.secret;
  }

  /** Returns the sessions that still hold engine memory after the time limit for releasing it. */
  async findHeldSessions(): Promise<readonly string[]> {
    const held = (): readonly string[] =>
      this.engines.flatMap((engine) => engine.statistics().sessions);
    const isFreed = (): Promise<boolean> => Promise.resolve(held().length === 0);
    await waitUntil('memory is freed', MEMORY_RELEASE_MILLISECONDS, isFreed).catch(() => undefined);
    return held();
  }

  /** Returns how many requests at targets contained a caller's key. */
  countKeySightings(): number {
    const engines = this.engines.map((engine) => engine.statistics().sightings);
    return engines.reduce((sum, sightings) => sum + sightings, this.tool.statistics().sightings);
  }

  async stop(): Promise<void> {
    await this.#fleet.kill();
    await this.#storeClient.close();
    await this.caller.close();
    await Promise.all([
      this.store.stop(),
      this.tool.stop(),
      this.collector.stop(),
      ...this.engines.map((engine) => engine.stop()),
    ]);
  }

  async #startStandIns(storePort: number, collectorPort: number): Promise<void> {
    const markers = this.keys.map(({ secret }) => secret);
    await this.store.start(storePort);
    await this.collector.start(collectorPort);
    await this.tool.start();
    await this.tool.setFaults({ markers });
    await Promise.all(
      this.engines.map(async (engine) => {
        await engine.start();
        await engine.setFaults({ markers });
      }),
    );
  }

  async #isHealthy(): Promise<boolean> {
    const indices = Array.from({ length: this.instances }, (_, index) => index);
    const ready = await Promise.all(indices.map((index) => this.#isReady(index)));
    if (!ready.every(Boolean)) return false;
    const owned = (
      await Promise.all(indices.map((index) => this.#readOwnedPartitions(index)))
    ).flat();
    if (owned.length === PARTITION_COUNT && new Set(owned).size === PARTITION_COUNT) return true;
    await delay(POLL_INTERVAL_MILLISECONDS);
    return false;
  }

  /** Describes each instance's readiness, and which partitions have no or several owners. */
  async #describeState(): Promise<string> {
    const states = await Promise.all(
      Array.from({ length: this.instances }, async (_, index) => {
        const isReady = await this.#isReady(index).catch(() => false);
        const owned = await this.#readOwnedPartitions(index).catch(() => []);
        return { isReady, owned };
      }),
    );
    const owners = states.flatMap(({ owned }) => owned);
    const ready = states.map(({ isReady }) => (isReady ? 'ready' : 'not ready')).join(', ');
    const unowned = Array.from({ length: PARTITION_COUNT }, (_, partition) => partition).filter(
      (partition) => !owners.includes(partition),
    );
    const multiplyOwned = owners.filter((partition, index) => owners.indexOf(partition) !== index);
    const found = `${ready}; without an owner: ${unowned.join()}; with several: ${multiplyOwned.join()}`;
    return [found, ...this.#findLogLines(new Set([...unowned, ...multiplyOwned]))].join('\n');
  }

  /** Returns the kept log lines of instances, without those about other partitions. */
  #findLogLines(partitions: ReadonlySet<number>): readonly string[] {
    return Array.from({ length: this.instances }, (_, index) =>
      this.#fleet.process(`entry-${index + 1}`).output.split('\n'),
    ).flatMap((lines) =>
      lines.filter((line) => {
        const partition = /"partition":(\d+)/.exec(line)?.[1];
        return partition === undefined || partitions.has(Number(partition));
      }),
    );
  }

  async #isReady(index: number): Promise<boolean> {
    const response = await request(`${this.entry(index)}/healthz/ready`);
    await response.body.dump();
    return response.statusCode === 200;
  }

  async #readOwnedPartitions(index: number): Promise<readonly number[]> {
    const response = await request(`${this.entry(index)}/limpetnotch/v1/status`, {
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
    });
    return statusSchema.parse(await response.body.json()).partitions;
  }
}
