import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { Supervisor } from '@limpetnotch/supervision';
import type { KeyedOrigin } from '../../src/resumption/keyedOrigin';
import { OriginLedger } from '../../src/resumption/originLedger';
import { OriginSharing } from '../../src/resumption/originSharing';
import { OriginTable } from '../../src/resumption/originTable';
import { WatchedStore } from '../support/watchedStore';

/** Enough for a batch to the other instances, and for two writes to the store. */
const SETTLE_MILLISECONDS = 600;
const NAMES = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];

/** Instances in one process; calls to those that are down fail. */
class OriginFleet {
  readonly down = new Set<string>();

  /** Calls that recorded origins. */
  recordingCalls = 0;

  readonly #store = new WatchedStore();

  readonly #instances = new Map<string, OriginSharing>();

  readonly #stopping = new AbortController();

  constructor() {
    NAMES.forEach((name) => this.#instances.set(name, this.#create(name)));
  }

  at(name: string): OriginSharing {
    return this.#instances.get(name)!;
  }

  stop(): void {
    this.#stopping.abort();
  }

  #createLedger(): OriginLedger {
    const parts = { logger: silentLogger, metrics: new MemoryMetrics() };
    const ledger = new OriginLedger({
      ...parts,
      store: this.#store.client,
      versions: { hasSeveral: () => true },
      instanceCount: () => NAMES.length,
    });
    const supervisor = new Supervisor({ ...parts, name: 'test' });
    void supervisor.startChild(ledger.task);
    void supervisor.run(this.#stopping.signal);
    return ledger;
  }

  #create(self: string): OriginSharing {
    const reach = (name: string) => (this.down.has(name) ? undefined : this.at(name));
    return new OriginSharing({
      table: new OriginTable(),
      ledger: this.#createLedger(),
      peers: {
        names: NAMES.filter((name) => name !== self),
        recordOrigins: async (name: string, origins: readonly KeyedOrigin[]) => {
          this.recordingCalls += 1;
          reach(name)?.receive(origins);
        },
        findOrigin: async (names, streamKey) =>
          names.map((name) => reach(name)?.findLocal(streamKey)).find(Boolean),
      },
    });
  }
}

const STREAMS = Array.from({ length: 40 }, (_, index) => ({
  streamKey: `/r${index}`,
  origin: { service: 's', version: `v${index % 3}` },
  remainingMilliseconds: 4_000,
  windowMilliseconds: 60_000,
}));

const find = async (fleet: OriginFleet, name: string, streamKey: string) =>
  fleet.at(name).findLocal(streamKey) ?? fleet.at(name).findAtPeers(streamKey);

const findStored = async (fleet: OriginFleet, name: string, streamKey: string) => {
  const found = fleet.at(name).findStored(streamKey);
  await jest.advanceTimersByTimeAsync(10);
  return found;
};

let fleet = new OriginFleet();

beforeEach(async () => {
  jest.useFakeTimers();
  fleet = new OriginFleet();
  STREAMS.forEach((stream) => fleet.at('a').record(stream));
  await jest.advanceTimersByTimeAsync(SETTLE_MILLISECONDS);
});

afterEach(() => {
  fleet.stop();
  jest.useRealTimers();
});

// The origin was lost with the instance that began the stream.
test.each(NAMES.slice(1))('instance %s knows origins of an instance that is down', async (name) => {
  fleet.down.add('a');
  for (const { streamKey, origin } of STREAMS) {
    expect(await find(fleet, name, streamKey)).toEqual(origin);
  }
});

test('an origin survives the loss of its instance and any other one', async () => {
  fleet.down.add('a');
  for (const lost of NAMES.slice(2)) {
    fleet.down.add(lost);
    for (const { streamKey, origin } of STREAMS) {
      expect(await find(fleet, 'b', streamKey)).toEqual(origin);
    }
    fleet.down.delete(lost);
  }
});

// Nine of ten instances were killed, and with them both copies of most origins.
test.each(NAMES.slice(1))(
  'instance %s finds all origins after the loss of all others',
  async (name) => {
    NAMES.filter((other) => other !== name).forEach((other) => fleet.down.add(other));
    for (const { streamKey, origin } of STREAMS) {
      const found =
        (await find(fleet, name, streamKey)) ?? (await findStored(fleet, name, streamKey));
      expect(found).toEqual(origin);
    }
  },
);

test('origins of streams that begin together take one call to each instance', () => {
  expect(fleet.recordingCalls).toBeLessThanOrEqual(NAMES.length - 1);
});

test('an origin that nobody recorded is unknown', async () => {
  expect(await find(fleet, 'b', '/other')).toBeUndefined();
});
