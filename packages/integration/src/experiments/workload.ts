import type { AgentShape, ProgramWork } from './programShape';
import { drawAgentShape, programWork } from './programShape';
import { RandomSource } from './randomSource';
import type { OrganisationProfile, UserProfile } from './userProfile';

const SAMPLED_PROGRAMS = 4_000;
const SAMPLE_SEED_OFFSET = 7_919;
const MILLISECONDS = 1_000;

const ORGANISATION_SEED_STEP = 1_000_003;
const PROGRAM_SEED_STEP = 101;

/** Relative error of the load that is left as it is. */
const LOAD_TOLERANCE = 0.01;
const MAXIMUM_CORRECTIONS = 40;

/** An organisation's declared rate is this many times its ordinary one. */
const RATE_FACTOR = 2;
const BURST_PROGRAMS = 10;

/** A part of a run, as shares of its duration. */
export interface Phase {
  readonly from: number;
  readonly to: number;
}

/** When one organisation floods, and when one engine is lost. */
export const FLOOD_PHASE: Phase = { from: 0.3, to: 0.45 };
export const LOSS_PHASE: Phase = { from: 0.6, to: 0.7 };

/** A program of the run. */
export interface PlannedProgram {
  readonly name: string;
  readonly organisation: string;
  readonly startMilliseconds: number;
  readonly shape: AgentShape;
  readonly work: ProgramWork;
}

/** All programs of a run, in the order of their starts. */
export interface Workload {
  readonly programs: readonly PlannedProgram[];
  readonly durationMilliseconds: number;
  /** Programs that admission refused, for they were over their organisation's rate. */
  readonly refusedOverRate: number;
  /** Work that was let in, as a share of what the engines can do. */
  readonly offeredLoad: number;
}

/** Options of {@link planWorkload}. */
export interface WorkloadOptions {
  readonly profile: UserProfile;
  /** Work let in, as a share of what the engines can do while they are up. */
  readonly load: number;
  readonly durationMilliseconds: number;
  readonly seed: number;
}

const length = ({ from, to }: Phase): number => to - from;

/** Returns the time of all engines together while they are up, in milliseconds. */
const engineTime = ({ profile, durationMilliseconds }: WorkloadOptions): number =>
  (profile.engines - length(LOSS_PHASE)) * durationMilliseconds;

const drawShape = (
  random: RandomSource,
  profile: UserProfile,
  organisation: string,
  name: string,
): AgentShape => drawAgentShape(random, random.pick(profile.agents), organisation, name);

/** Returns the mean work of a program, in milliseconds of one engine. */
const meanEngineMilliseconds = (options: WorkloadOptions): number => {
  const random = new RandomSource(options.seed + SAMPLE_SEED_OFFSET);
  let total = 0;
  for (let sample = 0; sample < SAMPLED_PROGRAMS; sample += 1) {
    const shape = drawShape(random, options.profile, 'sample', `sample-${sample}`);
    total += programWork(shape).engineMilliseconds;
  }
  return total / SAMPLED_PROGRAMS;
};

/** Returns the programs a second of the whole fleet in ordinary times. */
const ordinaryRate = (options: WorkloadOptions): number => {
  const { profile, load, durationMilliseconds } = options;
  const flooding = profile.organisations.find(({ name }) => name === profile.floodingOrganisation);
  const admitted = Math.min(profile.floodFactor, RATE_FACTOR);
  const extra = (flooding?.share ?? 0) * length(FLOOD_PHASE) * (admitted - 1);
  const work = load * engineTime(options);
  const programs = work / meanEngineMilliseconds(options);
  return programs / (1 + extra) / (durationMilliseconds / MILLISECONDS);
};

interface Arrivals {
  readonly admitted: readonly number[];
  readonly refused: number;
}

/** Draws the starts of one organisation's programs, behind its token bucket. */
const drawArrivals = (
  random: RandomSource,
  organisation: OrganisationProfile,
  rate: number,
  options: WorkloadOptions,
): Arrivals => {
  const { profile, durationMilliseconds } = options;
  const ordinary = organisation.share * rate;
  const isFlooding = organisation.name === profile.floodingOrganisation;
  const peak = ordinary * (isFlooding ? profile.floodFactor : 1);
  const admitted: number[] = [];
  let [refused, tokens, last, now] = [0, BURST_PROGRAMS, 0, 0];
  for (;;) {
    now += random.exponential(MILLISECONDS / peak);
    if (now >= durationMilliseconds) return { admitted, refused };
    const share = now / durationMilliseconds;
    const isInFlood = share >= FLOOD_PHASE.from && share < FLOOD_PHASE.to;
    const wanted = isFlooding && isInFlood ? peak : ordinary;
    if (random.uniform() < wanted / peak) {
      const earned = ((now - last) / MILLISECONDS) * ordinary * RATE_FACTOR;
      tokens = Math.min(BURST_PROGRAMS, tokens + earned);
      last = now;
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

/** Draws programs at a rate; each organisation and each program has its own random values. */
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
      const work = programWork(shape);
      return { name, organisation: organisation.name, startMilliseconds, shape, work };
    });
  });
  return { programs, refusedOverRate };
};

/**
 * Draws all programs of a run; the same options give the same programs. The rate is corrected
 * until the programs drawn make the load asked for, since a few long ones sway it.
 */
export const planWorkload = (options: WorkloadOptions): Workload => {
  const { durationMilliseconds, load } = options;
  const offeredBy = ({ programs }: DrawnPrograms): number =>
    programs.reduce((sum, { work }) => sum + work.engineMilliseconds, 0) / engineTime(options);
  let rate = ordinaryRate(options);
  let drawn = drawPrograms(options, rate);
  for (let correction = 0; correction < MAXIMUM_CORRECTIONS; correction += 1) {
    const offered = offeredBy(drawn);
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
    offeredLoad: offeredBy(drawn),
  };
};
