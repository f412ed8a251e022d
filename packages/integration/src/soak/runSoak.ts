import type { PlannedProgram } from '@limpetnotch/stand-ins';
import { generatePrograms, ProgramRunner, SeededRandom, SMALL_MIX } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import { CHARGE_PATH, MODEL, MODEL_PATH, QUOTE_PATH } from '../faults/faultDeclarations';
import { FaultFleet } from '../faults/faultFleet';
import type { SoakCommand } from './soakCommand';
import { drawCommand, runCommand } from './soakCommand';
import {
  FLOODING_ORGANISATION,
  getProgramsPerSecond,
  createSoakDeclarations,
  createSoakKeys,
  getSoakOrganisations,
} from './soakDeclarations';
import { SoakOracle } from './soakOracle';

const INSTANCES = 4;
const ENGINES = 6;
const MEAN_GAP_MILLISECONDS = 4_000;
const PAIR_PROBABILITY = 0.25;
const ATTEMPT_MILLISECONDS = 15_000;
const RETRY_TIMEOUT_MILLISECONDS = 45_000;
const MILLISECONDS_PER_MINUTE = 60_000;
const FLOOD_FACTOR = 4;

/** Options of {@link runSoak}. */
export interface SoakOptions {
  readonly seed: number;
  readonly minutes: number;
  /** Called with a line of progress. */
  readonly print: (line: string) => void;
}

/** Counts and violations of a soak. */
export interface SoakResult {
  readonly programs: number;
  readonly completePrograms: number;
  readonly calls: number;
  readonly answered: number;
  readonly commands: readonly string[];
  /** Violated guarantees. */
  readonly violations: readonly string[];
}

const formatCommand = (command: SoakCommand, atMilliseconds: number): string =>
  `${(atMilliseconds / 1_000).toFixed(1)} s ${JSON.stringify(command)}`;

/** Runs programs and faults concurrently, drawn from one seed. */
class Soak {
  readonly #options: SoakOptions;

  readonly #fleet: FaultFleet;

  readonly #oracle: SoakOracle;

  readonly #commands: string[] = [];

  readonly #startedAt = performance.now();

  #completePrograms = 0;

  constructor(options: SoakOptions, fleet: FaultFleet) {
    this.#options = options;
    this.#fleet = fleet;
    this.#oracle = new SoakOracle(fleet);
  }

  async run(): Promise<SoakResult> {
    const programs = this.#planPrograms();
    const runner = this.#createRunner();
    const running = programs.map((program) => this.#runProgram(runner, program));
    await this.#runFaults();
    await Promise.all(running);
    await this.#fleet.waitUntilHealthy();
    await this.#oracle.finish();
    const { steps, violations } = this.#oracle;
    return {
      programs: programs.length,
      completePrograms: this.#completePrograms,
      calls: steps.length,
      answered: steps.filter(({ result }) => result.kind === 'answered').length,
      commands: this.#commands,
      violations,
    };
  }

  get #durationMilliseconds(): number {
    return this.#options.minutes * MILLISECONDS_PER_MINUTE;
  }

  #planPrograms(): readonly PlannedProgram[] {
    return generatePrograms({
      seed: this.#options.seed,
      durationMilliseconds: this.#durationMilliseconds,
      organisations: getSoakOrganisations().map((name) => ({
        name,
        programsPerSecond:
          getProgramsPerSecond(name) * (name === FLOODING_ORGANISATION ? FLOOD_FACTOR : 1),
      })),
      mix: SMALL_MIX,
    });
  }

  #createRunner(): ProgramRunner {
    const fleet = this.#fleet;
    const entries = Array.from({ length: INSTANCES }, (_, index) => fleet.entry(index));
    return new ProgramRunner({
      caller: fleet.caller,
      entries: () => entries,
      keyOf: (organisation) => fleet.activeKey(organisation),
      model: MODEL,
      modelPath: MODEL_PATH,
      idempotentToolPath: QUOTE_PATH,
      nonIdempotentToolPath: CHARGE_PATH,
      attemptMilliseconds: ATTEMPT_MILLISECONDS,
      patienceMilliseconds: RETRY_TIMEOUT_MILLISECONDS,
      onStep: (step) => this.#oracle.record(step),
    });
  }

  async #runProgram(runner: ProgramRunner, program: PlannedProgram): Promise<void> {
    await delay(program.startMilliseconds);
    if (await runner.run(program)) this.#completePrograms += 1;
  }

  async #runFaults(): Promise<void> {
    const random = new SeededRandom(this.#options.seed);
    const running: Promise<void>[] = [];
    for (;;) {
      await delay(random.exponential(MEAN_GAP_MILLISECONDS));
      if (performance.now() - this.#startedAt > this.#durationMilliseconds) break;
      const isPair = random.chance(PAIR_PROBABILITY);
      const commands = Array.from({ length: isPair ? 2 : 1 }, () =>
        drawCommand(random, INSTANCES, ENGINES),
      );
      running.push(...commands.map((command) => this.#runCommand(command)));
    }
    await Promise.all(running);
  }

  async #runCommand(command: SoakCommand): Promise<void> {
    const line = formatCommand(command, performance.now() - this.#startedAt);
    this.#commands.push(line);
    this.#options.print(line);
    await runCommand(this.#fleet, command);
  }
}

/** Runs programs and faults on a new fleet, and checks the guarantees. */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const fleet = await FaultFleet.start({
    instances: INSTANCES,
    engines: ENGINES,
    model: MODEL,
    keys: createSoakKeys(),
    createDeclarations: createSoakDeclarations,
  });
  try {
    return await new Soak(options, fleet).run();
  } finally {
    await fleet.stop();
  }
};
