import type { EngineOptions } from '@limpetnotch/stand-ins';
import { request } from 'undici';
import type { ManagedProcessOptions } from './managedProcess';
import { ManagedProcess } from './managedProcess';
import { waitUntil } from './waitUntil';

const START_MILLISECONDS = 20_000;
const FIRST_FAILURE = 300;
const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;

/** Ports of one instance. */
export interface InstancePorts {
  readonly entry: number;
  readonly peer: number;
}

/** What a fleet is made of. */
export interface FleetOptions {
  readonly storePort: number;
  readonly instances: readonly InstancePorts[];
  readonly enginePorts: readonly number[];
  /** Settings of the engines, but for their seed. */
  readonly engineSettings: EngineOptions;
  readonly toolPorts: readonly number[];
  /** Secret of the operators' calls. */
  readonly operatorToken: string;
  /** Arguments added to each instance. */
  readonly instanceArguments?: readonly string[];
}

const daemonScript = require.resolve('@limpetnotch/server/bin/limpetnotchd.js');
const standInScript = require.resolve('@limpetnotch/stand-ins/dist/main.js');

/** A fleet of instances and stand-ins on this machine, each a process of its own. */
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
    this.#standIn('store', ['store', '--port', String(storePort)]);
    const settings = JSON.stringify(engineSettings);
    enginePorts.forEach((port, index) => {
      const name = `engine-${index + 1}`;
      this.#standIn(name, ['engine', '--port', String(port), '--settings', settings]);
    });
    toolPorts.forEach((port, index) =>
      this.#standIn(`tools-${index + 1}`, ['tools', '--port', String(port)]),
    );
    const addresses = [storePort, ...enginePorts, ...toolPorts];
    await Promise.all(addresses.map(async (port) => Fleet.#untilListening(port)));
  }

  /** Starts every instance; they become ready once a configuration is published. */
  startInstances(): void {
    this.#options.instances.forEach((_, index) => this.startInstance(index));
  }

  /** Starts one instance, or starts it again after it ended. */
  startInstance(index: number): void {
    const ports = this.#options.instances[index];
    if (!ports) throw new Error(`there is no instance ${index}`);
    const name = `entry-${index + 1}`;
    this.#start({
      name,
      script: daemonScript,
      arguments: [
        ...['--instance', name],
        ...['--availability-zone', ZONES[index % ZONES.length] ?? 'zone-a'],
        ...['--entry-port', String(ports.entry)],
        ...['--peer-port', String(ports.peer)],
        ...['--store', this.storeAddress],
        ...(this.#options.instanceArguments ?? []),
      ],
      environment: { LIMPETNOTCH_OPERATOR_TOKEN: this.#options.operatorToken },
    });
  }

  /** Resolves when all instances are ready and every partition has an owner. */
  async untilReady(partitionCount: number): Promise<void> {
    const entries = this.entryAddresses;
    await Promise.all(
      entries.map(async (address) =>
        waitUntil(`${address} is ready`, START_MILLISECONDS, async () => Fleet.#isReady(address)),
      ),
    );
    await waitUntil('every partition has an owner', START_MILLISECONDS, async () => {
      const owned = await Promise.all(entries.map(async (address) => this.#ownedBy(address)));
      return new Set(owned.flat()).size === partitionCount;
    });
  }

  /** Stops the instances gracefully, one after the other; resolves to their exit codes. */
  async stopInstances(): Promise<readonly (number | null)[]> {
    const codes: (number | null)[] = [];
    for (const [index] of this.#options.instances.entries()) {
      codes.push(await this.process(`entry-${index + 1}`).stop());
    }
    return codes;
  }

  /** Ends every process at once. */
  async kill(): Promise<void> {
    await Promise.all([...this.#processes.values()].map(async (process_) => process_.kill()));
  }

  #standIn(name: string, commandArguments: readonly string[]): void {
    this.#start({ name, script: standInScript, arguments: commandArguments });
  }

  #start(options: ManagedProcessOptions): void {
    this.#processes.set(options.name, new ManagedProcess(options));
  }

  async #ownedBy(address: string): Promise<readonly number[]> {
    const answer = await request(`${address}/limpetnotch/v1/status`, {
      headers: { authorization: `Bearer ${this.#options.operatorToken}` },
    });
    const status = (await answer.body.json()) as { readonly partitions: readonly number[] };
    return status.partitions;
  }

  static async #isReady(address: string): Promise<boolean> {
    const answer = await request(`${address}/healthz/ready`);
    await answer.body.dump();
    return answer.statusCode < FIRST_FAILURE;
  }

  static async #untilListening(port: number): Promise<void> {
    await waitUntil(`port ${port} is open`, START_MILLISECONDS, async () => {
      const answer = await request(`http://127.0.0.1:${port}/`);
      await answer.body.dump();
      return true;
    });
  }
}
