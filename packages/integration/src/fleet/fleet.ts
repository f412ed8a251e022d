import type { EngineOptions } from '@limpetnotch/stand-ins';
import { request } from 'undici';
import type { ManagedProcessOptions } from './managedProcess';
import { ManagedProcess } from './managedProcess';
import { waitUntil } from './waitUntil';

const START_TIMEOUT_MILLISECONDS = 20_000;
const FIRST_ERROR_STATUS = 300;
const AVAILABILITY_ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;

/** Ports of one instance. */
export interface InstancePorts {
  readonly entry: number;
  readonly peer: number;
}

/** Options of {@link Fleet}. */
export interface FleetOptions {
  readonly storePort: number;
  readonly instances: readonly InstancePorts[];
  readonly enginePorts: readonly number[];
  /** Settings of the engines, except their seed. */
  readonly engineSettings: EngineOptions;
  readonly toolPorts: readonly number[];
  /** Token for operator requests. */
  readonly operatorToken: string;
  /** Arguments added to each instance. */
  readonly instanceArguments?: readonly string[];
}

const daemonScript = require.resolve('@limpetnotch/server/bin/limpetnotchd.js');
const standInScript = require.resolve('@limpetnotch/stand-ins/dist/main.js');

/** A fleet of instances and stand-ins on this machine, each in a separate process. */
export class Fleet {
  readonly #options: FleetOptions;

  readonly #processes = new Map<string, ManagedProcess>();

  constructor(options: FleetOptions) {
    this.#options = options;
  }

  /** Base address of the store stand-in. */
  get storeAddress(): string {
    return `http://127.0.0.1:${this.#options.storePort}`;
  }

  /** Base addresses of the entries. */
  get entryAddresses(): readonly string[] {
    return this.#options.instances.map(({ entry }) => `http://127.0.0.1:${entry}`);
  }

  /** Returns a process by its name, such as `entry-1`, `engine-1`, `tools-1` or `store`. */
  process(name: string): ManagedProcess {
    const found = this.#processes.get(name);
    if (!found) throw new Error(`there is no process ${name}`);
    return found;
  }

  /** Starts the store, the engines and the tools. */
  async startStandIns(): Promise<void> {
    const { storePort, enginePorts, toolPorts, engineSettings } = this.#options;
    this.#startStandIn('store', ['store', '--port', String(storePort)]);
    const settings = JSON.stringify(engineSettings);
    enginePorts.forEach((port, index) => {
      const name = `engine-${index + 1}`;
      this.#startStandIn(name, ['engine', '--port', String(port), '--settings', settings]);
    });
    toolPorts.forEach((port, index) =>
      this.#startStandIn(`tools-${index + 1}`, ['tools', '--port', String(port)]),
    );
    const addresses = [storePort, ...enginePorts, ...toolPorts];
    await Promise.all(addresses.map(async (port) => Fleet.#waitForListening(port)));
  }

  /** Starts every instance; they become ready once a configuration is published. */
  startInstances(): void {
    this.#options.instances.forEach((_, index) => this.startInstance(index));
  }

  /** Starts an instance, or restarts it after it ended. */
  startInstance(index: number): void {
    const ports = this.#options.instances[index];
    if (!ports) throw new Error(`there is no instance ${index}`);
    const name = `entry-${index + 1}`;
    this.#startProcess({
      name,
      script: daemonScript,
      arguments: [
        ...['--instance', name],
        ...[
          '--availability-zone',
          AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.length] ?? 'zone-a',
        ],
        ...['--entry-port', String(ports.entry)],
        ...['--peer-port', String(ports.peer)],
        ...['--store', this.storeAddress],
        ...(this.#options.instanceArguments ?? []),
      ],
      environment: { LIMPETNOTCH_OPERATOR_TOKEN: this.#options.operatorToken },
    });
  }

  /** Resolves when all instances are ready and every partition has an owner. */
  async waitUntilReady(partitionCount: number): Promise<void> {
    const entries = this.entryAddresses;
    await Promise.all(
      entries.map(async (address) =>
        waitUntil(`${address} is ready`, START_TIMEOUT_MILLISECONDS, async () =>
          Fleet.#isReady(address),
        ),
      ),
    );
    await waitUntil('every partition has an owner', START_TIMEOUT_MILLISECONDS, async () => {
      const owned = await Promise.all(
        entries.map(async (address) => this.#readOwnedPartitions(address)),
      );
      return new Set(owned.flat()).size === partitionCount;
    });
  }

  /** Stops the instances gracefully, one by one; resolves to their exit codes. */
  async stopInstances(): Promise<readonly (number | null)[]> {
    const codes: (number | null)[] = [];
    for (const [index] of this.#options.instances.entries()) {
      codes.push(await this.process(`entry-${index + 1}`).stop());
    }
    return codes;
  }

  /** Kills every process. */
  async kill(): Promise<void> {
    await Promise.all([...this.#processes.values()].map(async (process_) => process_.kill()));
  }

  #startStandIn(name: string, commandArguments: readonly string[]): void {
    this.#startProcess({ name, script: standInScript, arguments: commandArguments });
  }

  #startProcess(options: ManagedProcessOptions): void {
    this.#processes.set(options.name, new ManagedProcess(options));
  }

  async #readOwnedPartitions(address: string): Promise<readonly number[]> {
    const response = await request(`${address}/limpetnotch/v1/status`, {
      headers: { authorization: `Bearer ${this.#options.operatorToken}` },
    });
    const status = (await response.body.json()) as { readonly partitions: readonly number[] };
    return status.partitions;
  }

  static async #isReady(address: string): Promise<boolean> {
    const response = await request(`${address}/healthz/ready`);
    await response.body.dump();
    return response.statusCode < FIRST_ERROR_STATUS;
  }

  static async #waitForListening(port: number): Promise<void> {
    await waitUntil(`port ${port} is open`, START_TIMEOUT_MILLISECONDS, async () => {
      const response = await request(`http://127.0.0.1:${port}/`);
      await response.body.dump();
      return true;
    });
  }
}
