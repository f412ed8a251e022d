import { MemoryMetrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import type { FleetOrganisation } from '../../src/configuration/fleetConfiguration';
import type { QuotaDecision, QuotaRequest } from '../../src/quotas/quotaGate';
import type { QuotaPeers } from '../../src/quotas/quotaPeers';
import { SharedQuotas } from '../../src/quotas/sharedQuotas';

/** Round-trip time of a call to a peer. */
const ROUND_TRIP_MILLISECONDS = 2;

/** Instances up to which each holds an equal part of every rate. */
const EQUAL_PARTS_INSTANCES = 8;

const toName = (rank: number): string => `instance-${rank}`;

/** Instances in one process whose quotas query each other. */
export class QuotaFleet {
  readonly instances: readonly SharedQuotas[];

  /** Ranks of instances that respond to no peer. */
  readonly unresponsive = new Set<number>();

  /** Number of calls between instances. */
  calls = 0;

  constructor(count: number, organisation: FleetOrganisation, windowSeconds: number) {
    const members = Array.from({ length: count }, (_value, rank) => toName(rank));
    this.instances = members.map(
      (instance, rank) =>
        new SharedQuotas({
          peers: this.#peersOf(rank),
          instance,
          rateLayout: () =>
            count > EQUAL_PARTS_INSTANCES
              ? { kind: 'holders', instance, members, stage: 'settled' }
              : { kind: 'equal-parts', rank, members },
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

  /** Has an instance admit a request and take a token for it. */
  async take(instance: SharedQuotas, request: QuotaRequest): Promise<QuotaDecision> {
    const admission = await instance.admit(request);
    return admission.kind === 'refused' ? admission : instance.take(request);
  }

  #peersOf(rank: number): QuotaPeers {
    const ask = async (names?: readonly string[]): Promise<readonly SharedQuotas[]> => {
      const asked = this.instances.filter(
        (_one, other) => other !== rank && (!names || names.includes(toName(other))),
      );
      this.calls += asked.length;
      await delay(ROUND_TRIP_MILLISECONDS);
      return asked.filter((one) => !this.unresponsive.has(this.instances.indexOf(one)));
    };
    return {
      takeTokens: async (name, tokens, names) => {
        const received = { given: 0, ahead: 0, nextMilliseconds: undefined };
        const asked = names ?? this.instances.map((_one, other) => toName(other));
        for (const one of asked) {
          const [other] = await ask([one]);
          if (other) {
            const wanted = tokens.wanted - received.given;
            const { given, ahead, nextMilliseconds } = other.transferTokens(name, {
              ...tokens,
              wanted,
            });
            received.given += given;
            received.ahead += ahead;
            Object.assign(received, { nextMilliseconds });
          }
          if (received.given >= tokens.wanted) return received;
        }
        return received;
      },
      describeDemand: async (name, program, names) =>
        (await ask(names)).map((other) => other.describeDemand(name, program)),
      admitProgram: async (name, request) => {
        const [other] = await ask([name]);
        return other?.decideProgram(request);
      },
    };
  }
}
