import { once } from 'node:events';
import { createServer } from 'node:net';
import type { Logger } from '@limpetnotch/observability';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { Turn } from '@limpetnotch/peer-protocol';
import { StoreTurnsResponse_Result as StoreResult } from '@limpetnotch/peer-protocol';
import { delay } from '@limpetnotch/supervision';
import { UnreliableFiles } from '@limpetnotch/turn-log/tests/support/unreliableFiles';
import type { StorageCodec, StoragePresence, ToleratedLosses } from '../../src';
import {
  chooseHolders,
  STORAGE_PREFIX,
  storageInstanceSchema,
  StorageInstanceProcess,
} from '../../src';
import type { TurnClient } from '../../src/storage/turnClients';
import { TurnClients } from '../../src/storage/turnClients';
import type { StoreConnection } from './fakeStore';
import { FakeStore } from './fakeStore';

const RETIREMENT_PREFIX = 'requests/';

const codec: StorageCodec = {
  retirementPrefix: RETIREMENT_PREFIX,
  retiringInstanceOf: (key) =>
    key.startsWith(RETIREMENT_PREFIX) ? key.slice(RETIREMENT_PREFIX.length) : undefined,
  encodeRetirement: (instance, state) => ({ key: `answers/${instance}`, value: state }),
};

interface RunningInstance {
  readonly name: string;
  readonly availabilityZone: string;
  readonly port: number;
  files: UnreliableFiles;
  isMarked: boolean;
  connection: StoreConnection;
  stop: AbortController;
  ended: Promise<void>;
  metrics: MemoryMetrics;
}

/** Options of a {@link StorageFleet}. */
export interface StorageFleetOptions {
  readonly toleratedLosses: ToleratedLosses;
  readonly logger?: Logger;
}

const findPort = async (): Promise<number> => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  server.close();
  await once(server, 'close');
  return typeof address === 'object' && address ? address.port : 0;
};

/** Storage instances on 127.0.0.1 with a shared store, disks in memory, and faults. */
export class StorageFleet {
  readonly store = new FakeStore();

  readonly clients = new TurnClients();

  readonly #options: StorageFleetOptions;

  readonly #instances = new Map<string, RunningInstance>();

  constructor(options: StorageFleetOptions) {
    this.#options = options;
  }

  /** Starts instances for the first time, each in an availability zone of a list in turn. */
  async start(names: readonly string[], isFirstStart = true): Promise<void> {
    for (const [position, name] of names.entries()) {
      await this.add(name, ['a', 'b', 'c'][position % 3]!, isFirstStart);
    }
    await this.until(() => names.every((name) => this.presence(name) !== undefined));
  }

  /** Starts an instance with an empty disk. */
  async add(name: string, availabilityZone: string, isFirstStart = false): Promise<void> {
    const port = await findPort();
    const instance: RunningInstance = {
      name,
      availabilityZone,
      port,
      files: new UnreliableFiles(),
      isMarked: false,
      connection: { isDown: false },
      stop: new AbortController(),
      ended: Promise.resolve(),
      metrics: new MemoryMetrics(),
    };
    this.#instances.set(name, instance);
    this.#run(instance, isFirstStart);
  }

  /** Ends a process; with a kill its presence only expires. */
  async end(name: string, kind: 'stop' | 'kill'): Promise<void> {
    const instance = this.get(name);
    if (kind === 'kill') instance.connection.isDown = true;
    instance.stop.abort();
    await instance.ended;
  }

  /** Starts a process again, on the same disk or on a new one. */
  restart(name: string, disk: 'kept' | 'wiped'): void {
    const instance = this.get(name);
    if (disk === 'wiped') {
      instance.files = new UnreliableFiles();
      instance.isMarked = false;
    }
    this.#run(instance, false);
  }

  get(name: string): RunningInstance {
    const instance = this.#instances.get(name);
    if (!instance) throw new Error(`${name} was not started`);
    return instance;
  }

  presence(name: string): StoragePresence | undefined {
    const value = this.store.get(`${STORAGE_PREFIX}${name}`);
    return value === undefined ? undefined : storageInstanceSchema.parse(JSON.parse(value));
  }

  isWhole(name: string): boolean {
    return this.presence(name)?.isWhole ?? false;
  }

  client(name: string): TurnClient {
    return this.clients.to(`127.0.0.1:${this.get(name).port}`);
  }

  requestRetirement(name: string): void {
    this.store.put(`${RETIREMENT_PREFIX}${name}`, '{}');
  }

  retirementState(name: string): string | undefined {
    return this.store.get(`answers/${name}`);
  }

  /** Names of the holders of a turn among instances. */
  holdersOf(turn: Turn, names: readonly string[]): readonly string[] {
    const instances = names.map((name) => ({
      name,
      availabilityZone: this.get(name).availabilityZone,
      state: 'serving' as const,
    }));
    const holders = chooseHolders(turn, instances, this.#options.toleratedLosses);
    return holders.map((holder) => holder.name);
  }

  /** Stores turns on instances. */
  async storeOn(names: readonly string[], turns: readonly Turn[]): Promise<void> {
    for (const name of names) {
      const { results } = await this.client(name).storeTurns({ turns: [...turns] });
      if (results.some((result) => result !== StoreResult.STORED)) throw new Error('not stored');
    }
  }

  /** Returns the names of the instances that have a turn, among those that answer. */
  async findCopies(turn: Turn, names: readonly string[]): Promise<readonly string[]> {
    const { organisation, id } = turn;
    const found = await Promise.all(
      names.map(async (name) => {
        const { turns } = await this.client(name).readChain({ organisation, id });
        return turns[0]?.id === id ? [name] : [];
      }),
    );
    return found.flat();
  }

  /** Returns the identifiers of the processes that answer. */
  async findIncarnations(names: readonly string[]): Promise<readonly string[]> {
    const found = await Promise.all(
      names.map((name) =>
        this.client(name)
          .readChain({ organisation: '', id: '' })
          .then(
            ({ incarnation }) => [incarnation],
            () => [],
          ),
      ),
    );
    return found.flat();
  }

  /** Waits until a process other than the given one is whole. */
  async untilReplaced(name: string, incarnation: string | undefined): Promise<void> {
    await this.until(() => this.isWhole(name) && this.presence(name)?.incarnation !== incarnation);
  }

  /** Waits until a condition holds; rejects after a number of milliseconds. */
  async until(condition: () => boolean | Promise<boolean>, milliseconds = 15_000): Promise<void> {
    const end = performance.now() + milliseconds;
    while (!(await condition())) {
      if (performance.now() > end) throw new Error('the condition did not become true');
      await delay(20);
    }
  }

  async close(): Promise<void> {
    this.#instances.forEach(({ stop }) => stop.abort());
    await Promise.all([...this.#instances.values()].map(({ ended }) => ended));
    this.clients.close();
  }

  #run(instance: RunningInstance, isFirstStart: boolean): void {
    const { files } = instance;
    const connection = { isDown: false };
    const stop = new AbortController();
    const metrics = new MemoryMetrics();
    const setMarked = async (isMarked: boolean): Promise<void> => {
      if (instance.files === files) Object.assign(instance, { isMarked });
    };
    const process = new StorageInstanceProcess({
      settings: {
        instance: instance.name,
        availabilityZone: instance.availabilityZone,
        host: '127.0.0.1',
        port: instance.port,
        isFirstStart,
        toleratedLosses: this.#options.toleratedLosses,
        graceMilliseconds: 2_000,
      },
      files,
      marker: {
        exists: async () => instance.isMarked,
        write: () => setMarked(true),
        remove: () => setMarked(false),
      },
      store: this.store.connect(connection),
      codec,
      logger: this.#options.logger ?? silentLogger,
      metrics,
    });
    const ended = process.run(stop.signal);
    Object.assign(instance, { connection, stop, metrics, ended });
  }
}
