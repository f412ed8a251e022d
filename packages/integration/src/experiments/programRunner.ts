import { setMaxListeners } from 'node:events';
import type {
  AttemptOutcome,
  PrefixBlock,
  ScheduledCall,
  TargetGrant,
} from '@limpetnotch/scheduling';
import { delay } from '@limpetnotch/supervision';
import { engineNames, MODEL, ROUTE } from './fleetConfiguration';
import type { ModelFleet, ModelInstance } from './modelFleet';
import type { AgentShape, Turn } from './programShape';
import type { RunTally } from './runTally';
import type { UserProfile } from './userProfile';
import type { PlannedProgram } from './workload';

const MAXIMUM_OUTPUT_TOKENS = 1_024;
const RETRY_DELAY_MILLISECONDS = 1_000;

/** Options of a {@link ProgramRunner}. */
export interface ProgramRunnerOptions {
  readonly profile: UserProfile;
  readonly fleet: ModelFleet;
  readonly tally: RunTally;
}

/** A call of a program, and the instance that runs it. */
interface RunningCall {
  readonly program: PlannedProgram;
  readonly instance: ModelInstance;
  readonly prefix: readonly PrefixBlock[];
  readonly turn: Turn;
}

/** Runs programs as callers do, alternating between model calls and pauses for tools. */
export class ProgramRunner {
  readonly #options: ProgramRunnerOptions;

  readonly #targets: readonly string[];

  readonly #signal = new AbortController().signal;

  constructor(options: ProgramRunnerOptions) {
    this.#options = options;
    this.#targets = engineNames(options.profile);
    // Every waiting call of a run listens on this signal.
    setMaxListeners(0, this.#signal);
  }

  /** Runs a program on the instance that owns it and records its latency. */
  async run(program: PlannedProgram, owner: number): Promise<void> {
    const { fleet, tally } = this.#options;
    const instance = fleet.instances[owner % fleet.instances.length];
    if (!instance) throw new Error('the fleet has no instance');
    const start = performance.now();
    await this.#runAgent(program, instance, program.shape);
    tally.recordProgram(program, performance.now() - start);
    instance.scheduler.endProgram(program.organisation, program.name);
    this.#freeCachedBlocks(program.shape);
  }

  async #runAgent(
    program: PlannedProgram,
    instance: ModelInstance,
    { system, turns }: AgentShape,
  ): Promise<void> {
    const history: PrefixBlock[] = [system];
    for (const [index, turn] of turns.entries()) {
      history.push(turn.input);
      await this.#runCall({ program, instance, prefix: [...history], turn });
      history.push(turn.output);
      await Promise.all(turn.subAgents.map((agent) => this.#runAgent(program, instance, agent)));
      if (index < turns.length - 1) await delay(turn.pauseMilliseconds);
    }
  }

  /** Sends a call until it succeeds, waiting whenever the scheduler allows no further retry. */
  async #runCall(running: RunningCall): Promise<void> {
    const { scheduler } = running.instance;
    const { tally } = this.#options;
    let excludedTargets: readonly string[] = [];
    let failedAttempts = 0;
    for (;;) {
      const call = this.#createScheduledCall(running, excludedTargets);
      const grant = await this.#acquire(running, call);
      const outcome = await this.#attempt(running, grant);
      grant.release(outcome);
      if (outcome.kind === 'answered') return;
      failedAttempts += 1;
      if (scheduler.mayRetry(call, failedAttempts)) {
        excludedTargets = [...excludedTargets, grant.target];
      } else {
        tally.recordFailure();
        await delay(RETRY_DELAY_MILLISECONDS);
      }
    }
  }

  async #acquire(running: RunningCall, call: ScheduledCall): Promise<TargetGrant> {
    for (;;) {
      const result = await running.instance.scheduler.acquire(call, this.#signal);
      if (result.isOk()) return result.value;
      this.#options.tally.recordRefusal(running.program);
      await delay(result.error.retryAfterMilliseconds ?? RETRY_DELAY_MILLISECONDS);
    }
  }

  async #attempt(running: RunningCall, grant: TargetGrant): Promise<AttemptOutcome> {
    const { fleet, profile, tally } = this.#options;
    const engine = fleet.engines.get(grant.target);
    if (!engine) throw new Error(`no engine ${grant.target}`);
    const { prefix, turn, program, instance } = running;
    if (engine.zone !== instance.zone) await delay(2 * profile.zoneMilliseconds);
    const outcome = await engine.model.submit({
      prefix,
      output: turn.output,
      priority: grant.priority,
      onFirstToken: () => {
        grant.progress(1);
      },
    });
    if (outcome.kind !== 'answered') return outcome;
    tally.recordCall(program, turn, outcome.promptTokens - outcome.cachedTokens);
    return { ...outcome, outputTokens: turn.output.tokens };
  }

  #createScheduledCall(
    { program, prefix, turn }: RunningCall,
    excludedTargets: readonly string[],
  ): ScheduledCall {
    return {
      callId: turn.input.digest,
      organisation: program.organisation,
      rootProgram: program.name,
      route: ROUTE,
      model: MODEL,
      targets: this.#targets,
      prefix,
      maximumOutputTokens: MAXIMUM_OUTPUT_TOKENS,
      idempotent: true,
      requestDigest: turn.input.digest,
      excludedTargets,
    };
  }

  #freeCachedBlocks({ turns }: AgentShape): void {
    const digests = turns.flatMap(({ input, output }) => [input.digest, output.digest]);
    this.#options.fleet.engines.forEach(({ model }) => {
      model.cache.free(digests);
    });
    turns.forEach(({ subAgents }) => {
      subAgents.forEach((agent) => {
        this.#freeCachedBlocks(agent);
      });
    });
  }
}
