import { SeededRandom } from '../util/seededRandom';
import type { PlannedProgram, ProgramStep } from './programShape';

const MILLISECONDS_PER_SECOND = 1_000;

/** Load of one organisation. */
export interface OrganisationLoad {
  readonly name: string;
  /** Mean number of programs started per second. */
  readonly programsPerSecond: number;
}

/** Means and limits from which the steps of each program are drawn. */
export interface ProgramMix {
  readonly meanSteps: number;
  readonly maximumSteps: number;
  readonly toolProbability: number;
  /** Fraction of the tool calls that are not idempotent. */
  readonly nonIdempotentShare: number;
  readonly agentsProbability: number;
  readonly meanPauseMilliseconds: number;
  readonly meanPromptCharacters: number;
  readonly meanOutputTokens: number;
}

/** Options of {@link generatePrograms}. */
export interface ProgramGeneratorOptions {
  readonly seed: number;
  readonly durationMilliseconds: number;
  readonly organisations: readonly OrganisationLoad[];
  readonly mix: ProgramMix;
}

/** Mix of short programs for tests. */
export const SMALL_MIX: ProgramMix = {
  meanSteps: 5,
  maximumSteps: 20,
  toolProbability: 0.4,
  nonIdempotentShare: 0.5,
  agentsProbability: 0.1,
  meanPauseMilliseconds: 100,
  meanPromptCharacters: 200,
  meanOutputTokens: 15,
};

const MAXIMUM_AGENTS = 3;

/** Draws a model or tool call. */
const drawCall = (random: SeededRandom, mix: ProgramMix): ProgramStep => {
  if (random.chance(mix.toolProbability)) {
    return {
      kind: 'tool',
      isIdempotent: !random.chance(mix.nonIdempotentShare),
      pauseMilliseconds: Math.round(random.exponential(mix.meanPauseMilliseconds)),
    };
  }
  return {
    kind: 'model',
    promptCharacters: 1 + Math.round(random.exponential(mix.meanPromptCharacters)),
    outputTokens: 1 + Math.round(random.exponential(mix.meanOutputTokens)),
  };
};

const drawCount = (random: SeededRandom, mix: ProgramMix): number =>
  Math.min(mix.maximumSteps, 1 + Math.round(random.exponential(mix.meanSteps - 1)));

const drawAgent = (random: SeededRandom, mix: ProgramMix): readonly ProgramStep[] =>
  Array.from({ length: drawCount(random, mix) }, () => drawCall(random, mix));

const drawStep = (random: SeededRandom, mix: ProgramMix): ProgramStep => {
  if (!random.chance(mix.agentsProbability)) return drawCall(random, mix);
  const count = random.integer(1, MAXIMUM_AGENTS);
  return { kind: 'agents', agents: Array.from({ length: count }, () => drawAgent(random, mix)) };
};

/** Draws the steps of one program. */
export const drawSteps = (random: SeededRandom, mix: ProgramMix): readonly ProgramStep[] =>
  Array.from({ length: drawCount(random, mix) }, () => drawStep(random, mix));

const drawStarts = (random: SeededRandom, programsPerSecond: number, end: number): number[] => {
  const starts: number[] = [];
  const mean = MILLISECONDS_PER_SECOND / programsPerSecond;
  for (let at = random.exponential(mean); at < end; at += random.exponential(mean)) {
    starts.push(Math.round(at));
  }
  return starts;
};

/** Draws random programs, sorted by start time; the same seed returns the same programs. */
export const generatePrograms = ({
  seed,
  durationMilliseconds,
  organisations,
  mix,
}: ProgramGeneratorOptions): readonly PlannedProgram[] =>
  organisations
    .flatMap(({ name, programsPerSecond }, position) => {
      const random = new SeededRandom(seed * 1_000 + position);
      return drawStarts(random, programsPerSecond, durationMilliseconds).map(
        (startMilliseconds, index): PlannedProgram => ({
          name: `program-${seed}-${index}`,
          organisation: name,
          startMilliseconds,
          steps: drawSteps(random, mix),
        }),
      );
    })
    .sort((left, right) => left.startMilliseconds - right.startMilliseconds);
