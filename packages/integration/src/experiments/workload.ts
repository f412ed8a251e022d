import type { AgentShape, ProgramWork } from './programShape';
import { drawAgentShape, computeProgramWork } from './programShape';
import { RandomSource } from './randomSource';
import type { OrganisationProfile, UserProfile } from './userProfile';

const SAMPLED_PROGRAMS = 4_000;
const SAMPLE_SEED_OFFSET = 7_919;
const MILLISECONDS_PER_SECOND = 1_000;

const ORGANISATION_SEED_STEP = 1_000_003;
const PROGRAM_SEED_STEP = 101;

/** Accepted relative error of the offered load. */
const LOAD_TOLERANCE = 0.01;
const MAXIMUM_CORRECTIONS = 40;

/** Ratio of an organisation's declared rate to its base rate. */
const DECLARED_RATE_FACTOR = 2;
const BURST_PROGRAMS = 10;

/** A phase of a run, as shares of its duration. */
export interface Phase {
  readonly from: number;
  readonly to: number;
}

/** When one organisation exceeds its rate. */
export const FLOOD_PHASE: Phase = { from: 0.3, to: 0.45 };
/** When one engine is down. */
export const LOSS_PHASE: Phase = { from: 0.6, to: 0.7 };

/** A program to run. */
export interface PlannedProgram {
  readonly name: string;
  readonly organisation: string;
  readonly startMilliseconds: number;
  readonly shape: AgentShape;
  readonly work: ProgramWork;
}

/** All programs of a run, ordered by start time. */
export interface Workload {
  readonly programs: readonly PlannedProgram[];
  readonly durationMilliseconds: number;
  /** Programs refused at admission because their organisation exceeded its rate. */
  readonly refusedOverRate: number;
  /** Admitted work, as a share of the engines' capacity. */
  readonly offeredLoad: number;
}

/** Options of {@link planWorkload}. */
export interface WorkloadOptions {
  readonly profile: UserProfile;
  /** Requested admitted work, as a share of the engines' capacity while they are up. */
  readonly load: number;
  readonly durationMilliseconds: number;
  readonly seed: number;
}

const getPhaseLength = ({ from, to }: Phase): number => to - from;

/** Returns the total uptime of all engines, in milliseconds. */
const computeEngineMilliseconds = ({ profile, durationMilliseconds }: WorkloadOptions): number =>
  (profile.engines - getPhaseLength(LOSS_PHASE)) * durationMilliseconds;

const drawShape = (
  random: RandomSource,
  profile: UserProfile,
  organisation: string,
  name: string,
): AgentShape => drawAgentShape(random, random.pick(profile.agents), organisation, name);

/** Estimates the mean work of a program, in engine milliseconds. */
const estimateMeanEngineMilliseconds = (options: WorkloadOptions): number => {
  const random = new RandomSource(options.seed + SAMPLE_SEED_OFFSET);
  let total = 0;
  for (let sample = 0; sample < SAMPLED_PROGRAMS; sample += 1) {
    const shape = drawShape(random, options.profile, 'sample', `sample-${sample}`);
    total += computeProgramWork(shape).engineMilliseconds;
  }
  return total / SAMPLED_PROGRAMS;
};

/** Returns the fleet's arrival rate outside the flood, in programs per second. */
const computeBaseRate = (options: WorkloadOptions): number => {
  const { profile, load, durationMilliseconds } = options;
  const flooding = profile.organisations.find(({ name }) => name === profile.floodingOrganisation);
  const admitted = Math.min(profile.floodFactor, DECLARED_RATE_FACTOR);
  const extra = (flooding?.share ?? 0) * getPhaseLength(FLOOD_PHASE) * (admitted - 1);
  const work = load * computeEngineMilliseconds(options);
  const programs = work / estimateMeanEngineMilliseconds(options);
  return programs / (1 + extra) / (durationMilliseconds / MILLISECONDS_PER_SECOND);
};

interface Arrivals {
  readonly admitted: readonly number[];
  readonly refused: number;
}

/** Draws the start times of one organisation's programs, limited by its token bucket. */
const drawArrivals = (
  random: RandomSource,
  organisation: OrganisationProfile,
  rate: number,
  options: WorkloadOptions,
): Arrivals => {
  const { profile, durationMilliseconds } = options;
  const baseRate = organisation.share * rate;
  const isFlooding = organisation.name === profile.floodingOrganisation;
  const peakRate = baseRate * (isFlooding ? profile.floodFactor : 1);
  const admitted: number[] = [];
  let [refused, tokens, lastRefill, now] = [0, BURST_PROGRAMS, 0, 0];
  for (;;) {
    now += random.exponential(MILLISECONDS_PER_SECOND / peakRate);
    if (now >= durationMilliseconds) return { admitted, refused };
    const share = now / durationMilliseconds;
    const isInFlood = share >= FLOOD_PHASE.from && share < FLOOD_PHASE.to;
    const currentRate = isFlooding && isInFlood ? peakRate : baseRate;
    if (random.uniform() < currentRate / peakRate) {
      const refilledTokens =
        ((now - lastRefill) / MILLISECONDS_PER_SECOND) * baseRate * DECLARED_RATE_FACTOR;
      tokens = Math.min(BURST_PROGRAMS, tokens + refilledTokens);
      lastRefill = now;
      if (tokens >= 1) {
        tokens -= 1;
        admitted.push(now);
      } else {
        refused += 1;
      }
    }
  }
};

interface DrawnPrograms {
  readonly programs: readonly PlannedProgram[];
  readonly refusedOverRate: number;
}

/** Draws programs at a rate; each organisation and each program has its own random source. */
const drawPrograms = (options: WorkloadOptions, rate: number): DrawnPrograms => {
  const { profile, seed } = options;
  let refusedOverRate = 0;
  const programs = profile.organisations.flatMap((organisation, position) => {
    const organisationSeed = seed + position * ORGANISATION_SEED_STEP;
    const arrivals = drawArrivals(new RandomSource(organisationSeed), organisation, rate, options);
    refusedOverRate += arrivals.refused;
    return arrivals.admitted.map((startMilliseconds, index): PlannedProgram => {
      const name = `${organisation.name}.${index}`;
      const random = new RandomSource(organisationSeed + (index + 1) * PROGRAM_SEED_STEP);
      const shape = drawShape(random, profile, organisation.name, name);
      const work = computeProgramWork(shape);
      return { name, organisation: organisation.name, startMilliseconds, shape, work };
    });
  });
  return { programs, refusedOverRate };
};

/**
 * Draws all programs of a run, deterministically for the same options. The rate is corrected until
 * the drawn programs produce the requested load, because a few long programs can shift it.
 */
export const planWorkload = (options: WorkloadOptions): Workload => {
  const { durationMilliseconds, load } = options;
  const computeOfferedLoad = ({ programs }: DrawnPrograms): number =>
    programs.reduce((sum, { work }) => sum + work.engineMilliseconds, 0) /
    computeEngineMilliseconds(options);
  let rate = computeBaseRate(options);
  let drawn = drawPrograms(options, rate);
  for (let correction = 0; correction < MAXIMUM_CORRECTIONS; correction += 1) {
    const offered = computeOfferedLoad(drawn);
    if (Math.abs(offered / load - 1) < LOAD_TOLERANCE) break;
    rate *= (1 + load / offered) / 2;
    drawn = drawPrograms(options, rate);
  }
  return {
    programs: [...drawn.programs].sort(
      (one, other) => one.startMilliseconds - other.startMilliseconds,
    ),
    durationMilliseconds,
    refusedOverRate: drawn.refusedOverRate,
    offeredLoad: computeOfferedLoad(drawn),
  };
};
