import { MemoryMetrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import type { FleetOrganisation } from '../../src/configuration/fleetConfiguration';
import type { QuotaPeers } from '../../src/quotas/quotaPeers';
import { SharedQuotas } from '../../src/quotas/sharedQuotas';

/** Round-trip time of a call to a peer. */
const ROUND_TRIP_MILLISECONDS = 2;

/** Instances in one process whose quotas query each other. */
export class QuotaFleet {
  readonly instances: readonly SharedQuotas[];

  /** Ranks of instances that respond to no peer. */
  readonly unresponsive = new Set<number>();

  constructor(count: number, organisation: FleetOrganisation, windowSeconds: number) {
    this.instances = Array.from(
      { length: count },
      (_value, rank) =>
        new SharedQuotas({
          peers: this.#peersOf(rank),
          rateShare: () => ({ holders: count, rank }),
          windowSeconds: () => windowSeconds,
          hasProgramStarted: async () => false,
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
      this.instances.filter((_one, other) => other !== rank && !this.unresponsive.has(other));
    return {
      takeTokens: async (name, wanted) => {
        let received = 0;
        for (const other of others()) {
          await delay(ROUND_TRIP_MILLISECONDS);
          received += other.transferTokens(name, wanted - received);
          if (received >= wanted) return received;
        }
        return received;
      },
      describeDemand: async (name, program) => {
        await delay(ROUND_TRIP_MILLISECONDS);
        return others().map((other) => other.describeDemand(name, program));
      },
    };
  }
}
