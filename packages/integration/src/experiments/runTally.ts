import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';
import type { Turn } from './programShape';
import type { UserProfile } from './userProfile';
import type { PlannedProgram, Workload } from './workload';
import { FLOOD_PHASE } from './workload';

const HIGHEST_MILLISECONDS = 36_000_000;
const OUTPUT_TOKEN_WEIGHT = 4;

/** Programs that start earlier are excluded because they run on an empty fleet. */
const WARM_UP_SHARE = 0.05;

/** Figures of one organisation. */
export interface OrganisationFigures {
  readonly name: string;
  readonly isFlooding: boolean;
  readonly programs: number;
  /** Mean ratio of latency to latency without competing load. */
  readonly slowdown: number;
  /** Ratio of the service received during the flood to the lesser of demand and weighted share. */
  readonly servedShare: number;
  readonly refused: number;
}

/** Figures of one run. */
export interface RunFigures {
  readonly programs: number;
  readonly meanMilliseconds: number;
  readonly p50Milliseconds: number;
  readonly p95Milliseconds: number;
  readonly p99Milliseconds: number;
  readonly prefilledAgainTokens: number;
  readonly refusedWithinRate: number;
  readonly failedAttempts: number;
  /** This figure and the next two cover only organisations that keep to their rate. */
  readonly worstSlowdown: number;
  readonly meanSlowdown: number;
  readonly worstServedShare: number;
  readonly organisations: readonly OrganisationFigures[];
}

interface OrganisationTally {
  programs: number;
  slowdowns: number;
  serviceInFlood: number;
  refused: number;
}

/** Collects the figures of one run. */
export class RunTally {
  readonly #profile: UserProfile;

  readonly #workload: Workload;

  readonly #latencies: Histogram = build({
    highestTrackableValue: HIGHEST_MILLISECONDS,
    numberOfSignificantValueDigits: 3,
  });

  readonly #organisations: ReadonlyMap<string, OrganisationTally>;

  readonly #seenSystemPrompts = new Set<string>();

  #prefilledAgainTokens = 0;

  #failures = 0;

  constructor(profile: UserProfile, workload: Workload) {
    this.#profile = profile;
    this.#workload = workload;
    this.#organisations = new Map(
      profile.organisations.map(({ name }) => [
        name,
        { programs: 0, slowdowns: 0, serviceInFlood: 0, refused: 0 },
      ]),
    );
  }

  recordProgram({ organisation, startMilliseconds, work }: PlannedProgram, latency: number): void {
    if (startMilliseconds < WARM_UP_SHARE * this.#workload.durationMilliseconds) return;
    this.#latencies.recordValue(Math.max(1, Math.round(latency)));
    const tally = this.#getTally(organisation);
    tally.programs += 1;
    tally.slowdowns += latency / work.aloneMilliseconds;
  }

  /** Records a completed call; tokens prefilled beyond its new input count as prefilled again. */
  recordCall(program: PlannedProgram, turn: Turn, prefilledTokens: number): void {
    const { system } = program.shape;
    const isFirst = !this.#seenSystemPrompts.has(system.digest);
    this.#seenSystemPrompts.add(system.digest);
    const fresh = turn.input.tokens + (isFirst ? system.tokens : 0);
    this.#prefilledAgainTokens += Math.max(0, prefilledTokens - fresh);
    const share = performance.now() / this.#workload.durationMilliseconds;
    if (share < FLOOD_PHASE.from || share >= FLOOD_PHASE.to) return;
    const service = turn.input.tokens + turn.output.tokens * OUTPUT_TOKEN_WEIGHT;
    this.#getTally(program.organisation).serviceInFlood += service;
  }

  recordRefusal({ organisation }: PlannedProgram): void {
    this.#getTally(organisation).refused += 1;
  }

  recordFailure(): void {
    this.#failures += 1;
  }

  computeFigures(): RunFigures {
    const organisations = this.#computeOrganisationFigures();
    const withinRate = organisations.filter(({ isFlooding }) => !isFlooding);
    const slowdowns = withinRate.map(({ slowdown }) => slowdown);
    return {
      programs: this.#latencies.totalCount,
      meanMilliseconds: this.#latencies.mean,
      p50Milliseconds: this.#latencies.getValueAtPercentile(50),
      p95Milliseconds: this.#latencies.getValueAtPercentile(95),
      p99Milliseconds: this.#latencies.getValueAtPercentile(99),
      prefilledAgainTokens: this.#prefilledAgainTokens,
      refusedWithinRate: organisations.reduce((sum, { refused }) => sum + refused, 0),
      failedAttempts: this.#failures,
      worstSlowdown: Math.max(...slowdowns),
      meanSlowdown: slowdowns.reduce((sum, value) => sum + value, 0) / slowdowns.length,
      worstServedShare: Math.min(...withinRate.map(({ servedShare }) => servedShare)),
      organisations,
    };
  }

  #computeOrganisationFigures(): readonly OrganisationFigures[] {
    const total = [...this.#organisations.values()].reduce(
      (sum, { serviceInFlood }) => sum + serviceInFlood,
      0,
    );
    const weights = this.#profile.organisations.reduce((sum, { weight }) => sum + weight, 0);
    return this.#profile.organisations.map(({ name, weight }) => {
      const { programs, slowdowns, serviceInFlood, refused } = this.#getTally(name);
      const fairService = Math.min(this.#computeFloodDemand(name), (total * weight) / weights);
      return {
        name,
        isFlooding: name === this.#profile.floodingOrganisation,
        programs,
        slowdown: slowdowns / Math.max(1, programs),
        servedShare: fairService > 0 ? serviceInFlood / fairService : 1,
        refused,
      };
    });
  }

  /** Returns the service demanded by programs that start in the flood, each token counted once. */
  #computeFloodDemand(organisation: string): number {
    const { programs, durationMilliseconds } = this.#workload;
    return programs
      .filter((program) => program.organisation === organisation)
      .filter(({ startMilliseconds }) => {
        const share = startMilliseconds / durationMilliseconds;
        return share >= FLOOD_PHASE.from && share < FLOOD_PHASE.to;
      })
      .reduce(
        (sum, { work }) => sum + work.promptTokens + work.outputTokens * OUTPUT_TOKEN_WEIGHT,
        0,
      );
  }

  #getTally(organisation: string): OrganisationTally {
    const tally = this.#organisations.get(organisation);
    if (!tally) throw new Error(`unknown organisation ${organisation}`);
    return tally;
  }
}
