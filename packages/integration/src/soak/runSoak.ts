import type { PlannedProgram } from '@limpetnotch/stand-ins';
import { generatePrograms, ProgramRunner, SeededRandom, SMALL_MIX } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import { CHARGE_PATH, MODEL, MODEL_PATH, QUOTE_PATH } from '../faults/faultDeclarations';
import { FaultFleet } from '../faults/faultFleet';
import type { SoakCommand } from './soakCommand';
import { drawCommand, runCommand } from './soakCommand';
import {
  FLOODING_ORGANISATION,
  programsPerSecond,
  soakDeclarations,
  soakKeys,
  soakOrganisations,
} from './soakDeclarations';
import { SoakOracle } from './soakOracle';

const INSTANCES = 4;
const ENGINES = 6;
const MEAN_GAP_MILLISECONDS = 4_000;
const PAIR_PROBABILITY = 0.25;
const ATTEMPT_MILLISECONDS = 15_000;
const PATIENCE_MILLISECONDS = 45_000;
const MILLISECONDS_PER_MINUTE = 60_000;
const FLOOD_FACTOR = 4;

/** Options of {@link runSoak}. */
export interface SoakOptions {
  readonly seed: number;
  readonly minutes: number;
  /** Called with a line of progress. */
  readonly print: (line: string) => void;
}

/** What a soak saw. */
export interface SoakResult {
  readonly programs: number;
  readonly wholePrograms: number;
  readonly calls: number;
  readonly answered: number;
  readonly commands: readonly string[];
  /** Promises that were broken. */
  readonly broken: readonly string[];
}

const commandText = (command: SoakCommand, atMilliseconds: number): string =>
  `${(atMilliseconds / 1_000).toFixed(1)} s ${JSON.stringify(command)}`;

/** One soak: programs and faults side by side, drawn from one seed. */
class Soak {
  readonly #options: SoakOptions;

  readonly #fleet: FaultFleet;

  readonly #oracle: SoakOracle;

  readonly #commands: string[] = [];

  readonly #startedAt = performance.now();

  #wholePrograms = 0;

  constructor(options: SoakOptions, fleet: FaultFleet) {
    this.#options = options;
    this.#fleet = fleet;
    this.#oracle = new SoakOracle(fleet);
  }

  async run(): Promise<SoakResult> {
    const programs = this.#plan();
    const runner = this.#runner();
    const running = programs.map((program) => this.#runProgram(runner, program));
    await this.#runFaults();
    await Promise.all(running);
    await this.#fleet.untilWhole();
    await this.#oracle.finish();
    const { steps, broken } = this.#oracle;
    return {
      programs: programs.length,
      wholePrograms: this.#wholePrograms,
      calls: steps.length,
      answered: steps.filter(({ result }) => result.kind === 'answered').length,
      commands: this.#commands,
      broken,
    };
  }

  get #durationMilliseconds(): number {
    return this.#options.minutes * MILLISECONDS_PER_MINUTE;
  }

  #plan(): readonly PlannedProgram[] {
    return generatePrograms({
      seed: this.#options.seed,
      durationMilliseconds: this.#durationMilliseconds,
      organisations: soakOrganisations().map((name) => ({
        name,
        programsPerSecond:
          programsPerSecond(name) * (name === FLOODING_ORGANISATION ? FLOOD_FACTOR : 1),
      })),
      mix: SMALL_MIX,
    });
  }

  #runner(): ProgramRunner {
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
      patienceMilliseconds: PATIENCE_MILLISECONDS,
      onStep: (step) => this.#oracle.record(step),
    });
  }

  async #runProgram(runner: ProgramRunner, program: PlannedProgram): Promise<void> {
    await delay(program.startMilliseconds);
    if (await runner.run(program)) this.#wholePrograms += 1;
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
    const line = commandText(command, performance.now() - this.#startedAt);
    this.#commands.push(line);
    this.#options.print(line);
    await runCommand(this.#fleet, command);
  }
}

/** Runs programs and faults for a time on a new fleet, and checks the promises. */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
  const fleet = await FaultFleet.start({
    instances: INSTANCES,
    engines: ENGINES,
    model: MODEL,
    keys: soakKeys(),
    declare: soakDeclarations,
  });
  try {
    return await new Soak(options, fleet).run();
  } finally {
    await fleet.stop();
  }
};
