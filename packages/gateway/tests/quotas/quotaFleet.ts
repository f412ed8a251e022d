import { MemoryMetrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import type { FleetOrganisation } from '../../src/configuration/fleetConfiguration';
import type { QuotaPeers } from '../../src/quotas/quotaPeers';
import { SharedQuotas } from '../../src/quotas/sharedQuotas';

/** Way of a question to a peer and back, in milliseconds. */
const EXCHANGE_MILLISECONDS = 2;

/** Instances whose quotas ask each other, in one process. */
export class QuotaFleet {
  readonly instances: readonly SharedQuotas[];

  /** Instances that answer nobody. */
  readonly silent = new Set<number>();

  constructor(count: number, organisation: FleetOrganisation, windowSeconds: number) {
    this.instances = Array.from(
      { length: count },
      (_value, rank) =>
        new SharedQuotas({
          peers: this.#peersOf(rank),
          holding: () => ({ holders: count, rank }),
          windowSeconds: () => windowSeconds,
          hasBegun: async () => false,
          metrics: new MemoryMetrics(),
        }),
    );
    const limits = {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    };
    this.instances.forEach((instance) =>
      instance.apply({
        version: 1,
        organisations: [organisation],
        routes: [],
        services: [],
        limits,
      }),
    );
  }

  #peersOf(rank: number): QuotaPeers {
    const others = (): SharedQuotas[] =>
      this.instances.filter((_one, other) => other !== rank && !this.silent.has(other));
    return {
      takeTokens: async (name, wanted) => {
        let received = 0;
        for (const other of others()) {
          await delay(EXCHANGE_MILLISECONDS);
          received += other.give(name, wanted - received);
          if (received >= wanted) return received;
        }
        return received;
      },
      describeDemand: async (name, program) => {
        await delay(EXCHANGE_MILLISECONDS);
        return others().map((other) => other.describe(name, program));
      },
    };
  }
}
