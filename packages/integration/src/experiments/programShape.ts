import type { PrefixBlock } from '@limpetnotch/scheduling';
import { ENGINE } from './engineModel';
import type { RandomSource } from './randomSource';
import type { AgentKind } from './userProfile';

const PAUSE_SIGMA = 0.8;
const SUB_AGENT_TURN_RATIO = 0.4;
const SUB_AGENTS = { least: 1, most: 3 };

/** A turn of an agent: a model call, the sub-agents it starts and a pause for a tool. */
export interface Turn {
  readonly input: PrefixBlock;
  readonly output: PrefixBlock;
  readonly subAgents: readonly AgentShape[];
  readonly pauseMilliseconds: number;
}

/** The turns that an agent will take; hidden from the scheduler. */
export interface AgentShape {
  readonly system: PrefixBlock;
  readonly turns: readonly Turn[];
}

/** Work of a program, counting each of its tokens once. */
export interface ProgramWork {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Engine time at full batch, in milliseconds. */
  readonly engineMilliseconds: number;
  /** Duration of the program without competing load, in milliseconds. */
  readonly aloneMilliseconds: number;
}

/** Draws the turns of a program; the names make its prompt blocks distinct. */
export const drawAgentShape = (
  random: RandomSource,
  kind: AgentKind,
  organisation: string,
  name: string,
  isSubAgent = false,
): AgentShape => {
  const median = isSubAgent
    ? Math.max(2, kind.medianTurns * SUB_AGENT_TURN_RATIO)
    : kind.medianTurns;
  const drawn = Math.round(random.lognormal(median, kind.turnSpread));
  const count = Math.min(kind.maximumTurns, Math.max(1, drawn));
  const turns = Array.from({ length: count }, (_, index): Turn => {
    const startsSubAgents = !isSubAgent && index > 0 && random.uniform() < kind.subAgentProbability;
    const subAgentCount = startsSubAgents ? random.integer(SUB_AGENTS) : 0;
    return {
      input: { digest: `${name}.${index}.in`, tokens: random.integer(kind.inputTokens) },
      output: { digest: `${name}.${index}.out`, tokens: random.integer(kind.outputTokens) },
      subAgents: Array.from({ length: subAgentCount }, (_value, child) =>
        drawAgentShape(random, kind, organisation, `${name}.${index}.${child}`, true),
      ),
      pauseMilliseconds: random.lognormal(kind.medianPauseMilliseconds, PAUSE_SIGMA),
    };
  });
  return {
    system: { digest: `${organisation}.${kind.name}`, tokens: kind.systemTokens },
    turns,
  };
};

const computeCallWork = (turn: Turn): ProgramWork => {
  const prefill = turn.input.tokens * ENGINE.prefillMilliseconds;
  const fullStep = ENGINE.stepMilliseconds / ENGINE.maximumBatch + ENGINE.decodeMilliseconds;
  const aloneStep = ENGINE.stepMilliseconds + ENGINE.decodeMilliseconds;
  return {
    promptTokens: turn.input.tokens,
    outputTokens: turn.output.tokens,
    engineMilliseconds: prefill + turn.output.tokens * fullStep,
    aloneMilliseconds: prefill + turn.output.tokens * aloneStep,
  };
};

/** Returns a program's work; only the slowest sub-agent of a turn adds to its duration alone. */
export const computeProgramWork = ({ turns }: AgentShape): ProgramWork => {
  const turnWorks = turns.map((turn, index) => {
    const callWork = computeCallWork(turn);
    const children = turn.subAgents.map(computeProgramWork);
    const total = (read: (work: ProgramWork) => number): number =>
      children.reduce((sum, child) => sum + read(child), read(callWork));
    const pause = index === turns.length - 1 ? 0 : turn.pauseMilliseconds;
    const slowest = Math.max(0, ...children.map((child) => child.aloneMilliseconds));
    return {
      promptTokens: total((work) => work.promptTokens),
      outputTokens: total((work) => work.outputTokens),
      engineMilliseconds: total((work) => work.engineMilliseconds),
      aloneMilliseconds: callWork.aloneMilliseconds + slowest + pause,
    };
  });
  const sum = (read: (work: ProgramWork) => number): number =>
    turnWorks.reduce((total, work) => total + read(work), 0);
  return {
    promptTokens: sum((work) => work.promptTokens),
    outputTokens: sum((work) => work.outputTokens),
    engineMilliseconds: sum((work) => work.engineMilliseconds),
    aloneMilliseconds: sum((work) => work.aloneMilliseconds),
  };
};
