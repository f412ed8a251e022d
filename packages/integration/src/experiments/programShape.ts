import type { PrefixBlock } from '@limpetnotch/scheduling';
import { ENGINE } from './engineModel';
import type { RandomSource } from './randomSource';
import type { AgentKind } from './userProfile';

const PAUSE_SPREAD = 0.8;
const SUB_AGENT_TURNS = 0.4;
const SUB_AGENTS = { least: 1, most: 3 };

/** One turn: a model call, sub-agents that it starts, and a pause for a tool. */
export interface Turn {
  readonly input: PrefixBlock;
  readonly output: PrefixBlock;
  readonly subAgents: readonly AgentShape[];
  readonly pauseMilliseconds: number;
}

/** What an agent will do; known to the generator only. */
export interface AgentShape {
  readonly system: PrefixBlock;
  readonly turns: readonly Turn[];
}

/** Work of a program if each of its tokens is processed once. */
export interface ProgramWork {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Time of one engine with a full batch, in milliseconds. */
  readonly engineMilliseconds: number;
  /** Time of the program if it ran alone, in milliseconds. */
  readonly aloneMilliseconds: number;
}

/** Draws what a program will do; names make its prompts distinct. */
export const drawAgentShape = (
  random: RandomSource,
  kind: AgentKind,
  organisation: string,
  name: string,
  isSubAgent = false,
): AgentShape => {
  const median = isSubAgent ? Math.max(2, kind.medianTurns * SUB_AGENT_TURNS) : kind.medianTurns;
  const drawn = Math.round(random.lognormal(median, kind.turnSpread));
  const count = Math.min(kind.maximumTurns, Math.max(1, drawn));
  const turns = Array.from({ length: count }, (_, index): Turn => {
    const isForking = !isSubAgent && index > 0 && random.uniform() < kind.subAgentProbability;
    const subAgents = isForking ? random.integer(SUB_AGENTS) : 0;
    return {
      input: { digest: `${name}.${index}.in`, tokens: random.integer(kind.inputTokens) },
      output: { digest: `${name}.${index}.out`, tokens: random.integer(kind.outputTokens) },
      subAgents: Array.from({ length: subAgents }, (_value, child) =>
        drawAgentShape(random, kind, organisation, `${name}.${index}.${child}`, true),
      ),
      pauseMilliseconds: random.lognormal(kind.medianPauseMilliseconds, PAUSE_SPREAD),
    };
  });
  return {
    system: { digest: `${organisation}.${kind.name}`, tokens: kind.systemTokens },
    turns,
  };
};

const callWork = (turn: Turn): ProgramWork => {
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

/** Returns a program's work: its sub-agents run at once, so alone the slowest one counts. */
export const programWork = ({ turns }: AgentShape): ProgramWork => {
  const works = turns.map((turn, index) => {
    const own = callWork(turn);
    const children = turn.subAgents.map(programWork);
    const total = (read: (work: ProgramWork) => number): number =>
      children.reduce((sum, child) => sum + read(child), read(own));
    const pause = index === turns.length - 1 ? 0 : turn.pauseMilliseconds;
    const slowest = Math.max(0, ...children.map((child) => child.aloneMilliseconds));
    return {
      promptTokens: total((work) => work.promptTokens),
      outputTokens: total((work) => work.outputTokens),
      engineMilliseconds: total((work) => work.engineMilliseconds),
      aloneMilliseconds: own.aloneMilliseconds + slowest + pause,
    };
  });
  const sum = (read: (work: ProgramWork) => number): number =>
    works.reduce((total, work) => total + read(work), 0);
  return {
    promptTokens: sum((work) => work.promptTokens),
    outputTokens: sum((work) => work.outputTokens),
    engineMilliseconds: sum((work) => work.engineMilliseconds),
    aloneMilliseconds: sum((work) => work.aloneMilliseconds),
  };
};
