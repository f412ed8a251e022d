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
import { freePorts } from '../fleet/freePorts';
import type { ManagedProcess } from '../fleet/managedProcess';
import { waitUntil } from '../fleet/waitUntil';
import type { CallerKey, TargetAddresses } from './faultDeclarations';

const OPERATOR_TOKEN = 'fault-matrix-operator-token';
const WHOLE_MILLISECONDS = 30_000;
const POLL_MILLISECONDS = 100;
const FREED_MILLISECONDS = 8_000;
const OWNED_MILLISECONDS = 5_000;
const ENGINE_SETTINGS: EngineOptions = {
  tokensPerSecond: 40,
  restartMilliseconds: 1_500,
  fencingScope: 'subject',
};
const INSTANCE_ARGUMENTS = ['--lease-seconds', '1', '--drain-seconds', '0.2'];

const effectSchema = z.object({ effect: z.string() });

const statusSchema = z.object({ partitions: z.array(z.number().int()) });

/** Ends a fleet's processes when this one ends, so that none is left behind. */
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

/** What a fault fleet is made of. */
export interface FaultFleetOptions {
  readonly instances: number;
  readonly engines: number;
  readonly model: string;
  readonly keys: readonly CallerKey[];
  /** Builds the declarations. */
  declare(
    addresses: TargetAddresses,
    keys: readonly CallerKey[],
    withdrawn: ReadonlySet<string>,
  ): readonly Declaration[];
}

/** Stand-ins in this process, and instances as processes that can be killed and paused. */
export class FaultFleet {
  readonly store = new StoreStandIn();

  readonly tool = new ToolStandIn();

  readonly engines: readonly EngineStandIn[];

  readonly collector = new CollectorStandIn();

  readonly caller = new EntryCaller();

  readonly #withdrawn = new Set<string>();

  #takenFailures = 0;

  readonly #fleet: Fleet;

  readonly #client: KeyValueStore;

  readonly #options: FaultFleetOptions;

  private constructor(fleet: Fleet, client: KeyValueStore, options: FaultFleetOptions) {
    this.#fleet = fleet;
    this.#client = client;
    this.#options = options;
    this.engines = Array.from(
      { length: options.engines },
      () => new EngineStandIn({ ...ENGINE_SETTINGS, models: [options.model] }),
    );
  }

  /** Starts the stand-ins, publishes the declarations and starts the instances. */
  static async start(options: FaultFleetOptions): Promise<FaultFleet> {
    const { instances } = options;
    const ports = await freePorts(2 * instances + 2);
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
    await faultFleet.untilWhole();
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

  /** Starts an instance again after it ended. */
  async restart(index: number): Promise<void> {
    await this.process(index).exited();
    this.#fleet.startInstance(index);
  }

  /** Withdraws a key and publishes that. */
  async withdraw(key: string): Promise<void> {
    this.#withdrawn.add(key);
    await this.publish();
  }

  async publish(): Promise<void> {
    const addresses = {
      engines: this.engines.map((engine) => engine.server.address),
      tool: this.tool.server.address,
    };
    const declared = this.#options.declare(addresses, this.keys, this.#withdrawn);
    const publisher = new ConfigurationPublisher(this.#client);
    const configuration = buildConfiguration(0, declared);
    const published = await publisher.publish({ configuration, author: 'fault-matrix' });
    if (published.isErr()) throw new Error(`publish: ${JSON.stringify(published.error)}`);
  }

  /** Returns the partition of a root program. */
  partition(organisation: string, program: string): number {
    return partitionOf(`${organisation}/${program}`);
  }

  /** Returns which instance owns a partition, once that is one, as partitions move for a moment. */
  async untilOwned(partition: number): Promise<number> {
    const giveUpAt = performance.now() + OWNED_MILLISECONDS;
    for (;;) {
      const owner = await this.#ownerOf(partition);
      if (owner !== undefined) return owner;
      if (performance.now() > giveUpAt) throw new Error(`partition ${partition} has no owner`);
      await delay(POLL_MILLISECONDS);
    }
  }

  async #ownerOf(partition: number): Promise<number | undefined> {
    const owned = await Promise.all(
      Array.from({ length: this.instances }, (_, index) => this.#ownedBy(index)),
    );
    const owners = owned.flatMap((partitions, index) =>
      partitions.includes(partition) ? [index] : [],
    );
    return owners.length === 1 ? owners[0] : undefined;
  }

  /** Resolves when every instance is ready and each partition has one owner. */
  async untilWhole(): Promise<void> {
    await waitUntil('the fleet is whole', WHOLE_MILLISECONDS, () => this.#isWhole()).catch(
      async () => {
        throw new Error(`the fleet did not become whole: ${await this.#describe()}`);
      },
    );
  }

  /** Assertions that failed in any instance since this was last asked. */
  takeAssertionFailures(): number {
    const total = this.collector.sumOfCounters((name) => name.includes('assertion-failures'));
    const taken = total - this.#takenFailures;
    this.#takenFailures = total;
    return taken;
  }

  /** Returns how often the tool had an effect. */
  executionsOf(effect: string): number {
    return this.tool.executions.filter((execution) => {
      const body = effectSchema.safeParse(execution.body);
      return body.success && body.data.effect === effect;
    }).length;
  }

  /** Returns the secret of an organisation's first key that was not withdrawn. */
  activeKey(organisation: string): string {
    const key = this.keys.find(
      (candidate) =>
        candidate.organisation === organisation && !this.#withdrawn.has(candidate.name),
    );
    if (!key) throw new Error(`every key of ${organisation} was withdrawn`);
    return key.secret;
  }

  /** Returns the sessions that still hold engine memory after the time in which it must be freed. */
  async heldSessions(): Promise<readonly string[]> {
    const held = (): readonly string[] =>
      this.engines.flatMap((engine) => engine.statistics().sessions);
    const isFreed = (): Promise<boolean> => Promise.resolve(held().length === 0);
    await waitUntil('memory is freed', FREED_MILLISECONDS, isFreed).catch(() => undefined);
    return held();
  }

  /** Requests at targets that carried a caller's key. */
  keySightings(): number {
    const engines = this.engines.map((engine) => engine.statistics().sightings);
    return engines.reduce((sum, sightings) => sum + sightings, this.tool.statistics().sightings);
  }

  async stop(): Promise<void> {
    await this.#fleet.kill();
    await this.#client.close();
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

  async #isWhole(): Promise<boolean> {
    const indices = Array.from({ length: this.instances }, (_, index) => index);
    const ready = await Promise.all(indices.map((index) => this.#isReady(index)));
    if (!ready.every(Boolean)) return false;
    const owned = (await Promise.all(indices.map((index) => this.#ownedBy(index)))).flat();
    if (owned.length === PARTITION_COUNT && new Set(owned).size === PARTITION_COUNT) return true;
    await delay(POLL_MILLISECONDS);
    return false;
  }

  /** Says which instances are not ready, and which partitions have no or several owners. */
  async #describe(): Promise<string> {
    const states = await Promise.all(
      Array.from({ length: this.instances }, async (_, index) => {
        const isReady = await this.#isReady(index).catch(() => false);
        const owned = await this.#ownedBy(index).catch(() => []);
        return { isReady, owned };
      }),
    );
    const owners = states.flatMap(({ owned }) => owned);
    const ready = states.map(({ isReady }) => (isReady ? 'ready' : 'not ready')).join(', ');
    const free = Array.from({ length: PARTITION_COUNT }, (_, partition) => partition).filter(
      (partition) => !owners.includes(partition),
    );
    const double = owners.filter((partition, index) => owners.indexOf(partition) !== index);
    const found = `${ready}; without an owner: ${free.join()}; with several: ${double.join()}`;
    return [found, ...this.#linesAbout(new Set([...free, ...double]))].join('\n');
  }

  /** Returns the last lines that instances logged about partitions. */
  #linesAbout(partitions: ReadonlySet<number>): readonly string[] {
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
    const answer = await request(`${this.entry(index)}/healthz/ready`);
    await answer.body.dump();
    return answer.statusCode === 200;
  }

  async #ownedBy(index: number): Promise<readonly number[]> {
    const answer = await request(`${this.entry(index)}/limpetnotch/v1/status`, {
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
    });
    return statusSchema.parse(await answer.body.json()).partitions;
  }
}
