import type { SeededRandom } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { FleetOrganisation } from '../../src/configuration/fleetConfiguration';
import type { QuotaFleet } from './quotaFleet';

/** The objective of a program is its idle time times the factor, plus the extra time. */
const OBJECTIVE_FACTOR = 1.6;
const OBJECTIVE_EXTRA_MILLISECONDS = 200;

/** Average number of requests per program. */
const MEAN_REQUESTS = 14;

const TURN_MILLISECONDS = 180;
const PAUSE_MILLISECONDS = 100;
const TOOL_MILLISECONDS = 50;

/** Share of requests that the load balancer sends to an instance other than the program's. */
const OTHER_INSTANCE_SHARE = 0.12;

/** Weights of the instances; load balancers distribute callers unevenly. */
const INSTANCE_WEIGHTS = [0.4, 0.3, 0.2, 0.1];

/** Result of a program; its size is the number of its requests. */
export interface ProgramEnd {
  readonly size: number;
  readonly result: 'on-time' | 'late' | 'failed';
}

interface Program {
  readonly key: string;
  readonly instance: number;
  /** Number of tool calls after each turn. */
  readonly tools: readonly number[];
  readonly startedAtMilliseconds: number;
  readonly objectiveMilliseconds: number;
}

/** Simulates the programs of one organisation: turns, with tool calls in between. */
export class ProgramCallers {
  readonly ends: ProgramEnd[] = [];

  readonly #fleet: QuotaFleet;

  readonly #organisation: FleetOrganisation;

  readonly #random: SeededRandom;

  /** Whether requests that may be the first of a program are marked as such. */
  readonly #marksFirstRequests: boolean;

  #startedCount = 0;

  constructor(options: {
    readonly fleet: QuotaFleet;
    readonly organisation: FleetOrganisation;
    readonly random: SeededRandom;
    readonly marksFirstRequests: boolean;
  }) {
    this.#fleet = options.fleet;
    this.#organisation = options.organisation;
    this.#random = options.random;
    this.#marksFirstRequests = options.marksFirstRequests;
  }

  /**
   * Starts programs at random times for the given duration; resolves when the last one has ended.
   */
  async run(requestsPerSecond: number, milliseconds: number): Promise<void> {
    const until = performance.now() + milliseconds;
    const running: Promise<void>[] = [];
    while (performance.now() < until) {
      await delay(this.#random.exponential((1_000 * MEAN_REQUESTS) / requestsPerSecond));
      running.push(this.#runProgram(this.#createProgram()));
    }
    await Promise.all(running);
  }

  #createProgram(): Program {
    this.#startedCount += 1;
    const mean = this.#random.chance(0.75) ? 4 : 11;
    const turns = Math.max(2, Math.round(mean * (0.6 + 0.8 * this.#random.fraction())));
    const tools = Array.from({ length: turns }, () => this.#random.integer(0, 3));
    const idleMilliseconds = tools.reduce(
      (sum, count) =>
        sum + TURN_MILLISECONDS + PAUSE_MILLISECONDS + (count > 0 ? TOOL_MILLISECONDS : 0),
      0,
    );
    return {
      key: `program-${this.#startedCount}`,
      instance: this.#random.pickWeighted(INSTANCE_WEIGHTS),
      tools,
      startedAtMilliseconds: performance.now(),
      objectiveMilliseconds: idleMilliseconds * OBJECTIVE_FACTOR + OBJECTIVE_EXTRA_MILLISECONDS,
    };
  }

  async #runProgram(program: Program): Promise<void> {
    const size = program.tools.reduce((sum, count) => sum + 1 + count, 0);
    for (const count of program.tools) {
      const hasSucceeded = (await this.#turn(program)) && (await this.#callTools(program, count));
      if (!hasSucceeded) {
        this.ends.push({ size, result: 'failed' });
        return;
      }
      await delay(PAUSE_MILLISECONDS);
    }
    const elapsedMilliseconds = performance.now() - program.startedAtMilliseconds;
    this.ends.push({
      size,
      result: elapsedMilliseconds <= program.objectiveMilliseconds ? 'on-time' : 'late',
    });
  }

  /** Sends a turn, with at most two retries. */
  async #turn(program: Program): Promise<boolean> {
    for (let attempt = 0; attempt < 3; attempt += 1) {
      if (await this.#request(program, TURN_MILLISECONDS, true)) return true;
      await delay(100 + 300 * this.#random.fraction());
    }
    return false;
  }

  async #callTools(program: Program, count: number): Promise<boolean> {
    const calls = Array.from({ length: count }, () =>
      this.#request(program, TOOL_MILLISECONDS, false),
    );
    return (await Promise.all(calls)).every(Boolean);
  }

  /** Sends a request, with one retry after the delay that a refusal asks for. */
  async #request(program: Program, milliseconds: number, isTurn: boolean): Promise<boolean> {
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const goesToOtherInstance = this.#random.chance(OTHER_INSTANCE_SHARE);
      const instance = goesToOtherInstance
        ? this.#random.pickWeighted(INSTANCE_WEIGHTS)
        : program.instance;
      const elapsed = performance.now() - program.startedAtMilliseconds;
      const expectedMilliseconds = Math.max(0, program.objectiveMilliseconds - elapsed) * 0.6;
      const decision = await this.#fleet.take(this.#fleet.instances[instance]!, {
        organisation: this.#organisation,
        programKey: program.key,
        stage:
          isTurn && this.#marksFirstRequests
            ? { kind: 'new-program', expectedMilliseconds }
            : { kind: 'under-way' },
      });
      if (decision.kind === 'taken') {
        await delay(milliseconds);
        return true;
      }
      await delay(decision.retryAfterSeconds * 1_000);
    }
    return false;
  }
}
