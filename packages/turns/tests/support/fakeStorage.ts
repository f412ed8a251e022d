import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { once } from 'node:events';
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Turn, TurnSchema } from '@limpetnotch/peer-protocol';
import {
  createUnaryListener,
  StoreTurnsResponse_Result as StoreResult,
  TurnService,
} from '@limpetnotch/peer-protocol';

/** How a fake storage instance responds. */
export type FakeMode = 'sound' | 'silent' | 'disk-full';

/** A storage instance on 127.0.0.1 that holds turns in memory. */
export class FakeStorage {
  readonly turns = new Map<string, Turn>();

  mode: FakeMode = 'sound';

  isWhole = true;

  reads = 0;

  readonly #server: Server;

  readonly #name: string;

  readonly #zone: string;

  private constructor(name: string, zone: string) {
    this.#name = name;
    this.#zone = zone;
    const listener = createUnaryListener({
      service: TurnService,
      implementation: {
        storeTurns: async ({ turns }) => this.#store(turns),
        readChain: async ({ organisation, id }) => this.#read(organisation, id),
      },
      fallback: (_request, response) => response.destroy(),
    });
    this.#server = createServer((request, response) => {
      if (this.mode !== 'silent') listener(request, response);
    });
  }

  static async start(name: string, zone: string): Promise<FakeStorage> {
    const storage = new FakeStorage(name, zone);
    storage.#server.listen(0, '127.0.0.1');
    await once(storage.#server, 'listening');
    return storage;
  }

  get name(): string {
    return this.#name;
  }

  /** Its entry in the store. */
  get entry(): { readonly key: string; readonly value: string; readonly revision: number } {
    const address = this.#server.address();
    const port = typeof address === 'object' && address ? address.port : 0;
    const presence = {
      address: `127.0.0.1:${port}`,
      availabilityZone: this.#zone,
      incarnation: `${this.#name}-1`,
      state: 'serving',
      isWhole: this.isWhole,
    };
    const value = JSON.stringify(presence);
    return { key: `limpetnotch/storage/${this.#name}`, value, revision: 1 };
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #store(turns: readonly Turn[]): { results: StoreResult[] } {
    if (this.mode === 'disk-full') return { results: turns.map(() => StoreResult.DISK_FULL) };
    turns.forEach((turn) => this.turns.set(`${turn.organisation}/${turn.id}`, turn));
    return { results: turns.map(() => StoreResult.STORED) };
  }

  #read(
    organisation: string,
    id: string,
  ): { turns: MessageInitShape<typeof TurnSchema>[]; isWhole: boolean } {
    this.reads += 1;
    const found: Turn[] = [];
    for (
      let turn = this.turns.get(`${organisation}/${id}`);
      turn;
      turn = this.turns.get(`${organisation}/${turn.parentId}`)
    ) {
      found.push(turn);
    }
    return { turns: found, isWhole: this.isWhole };
  }
}
