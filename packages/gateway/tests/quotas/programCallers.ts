import type { SeededRandom } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import type { FleetOrganisation } from '../../src/configuration/fleetConfiguration';
import type { QuotaFleet } from './quotaFleet';

/** Part of the idle time that callers add to get their objective, and what they add on top. */
const OBJECTIVE_FACTOR = 1.6;
const OBJECTIVE_EXTRA_MILLISECONDS = 200;

/** Requests of a program on average. */
const MEAN_REQUESTS = 14;

const TURN_MILLISECONDS = 180;
const PAUSE_MILLISECONDS = 100;
const TOOL_MILLISECONDS = 50;

/** Share of requests that reach another instance than the rest of their program. */
const MOVED_SHARE = 0.12;

/** Balancers spread callers unevenly. */
const INSTANCE_WEIGHTS = [0.4, 0.3, 0.2, 0.1];

/** How a program ended; its size is the number of its requests. */
export interface ProgramEnd {
  readonly size: number;
  readonly result: 'on-time' | 'late' | 'failed';
}

interface Program {
  readonly key: string;
  readonly instance: number;
  /** Tool calls after each turn. */
  readonly tools: readonly number[];
  readonly beganAtMilliseconds: number;
  readonly objectiveMilliseconds: number;
}

/** Programs of one organisation, as the users' agents run them: turns, with tool calls between. */
export class ProgramCallers {
  readonly ends: ProgramEnd[] = [];

  readonly #fleet: QuotaFleet;

  readonly #organisation: FleetOrganisation;

  readonly #random: SeededRandom;

  /** Whether the instances are told which requests may begin a program. */
  readonly #tellsBeginnings: boolean;

  #begun = 0;

  constructor(options: {
    readonly fleet: QuotaFleet;
    readonly organisation: FleetOrganisation;
    readonly random: SeededRandom;
    readonly tellsBeginnings: boolean;
  }) {
    this.#fleet = options.fleet;
    this.#organisation = options.organisation;
    this.#random = options.random;
    this.#tellsBeginnings = options.tellsBeginnings;
  }

  /** Starts programs at random times for a while; resolves when the last one has ended. */
  async run(requestsPerSecond: number, milliseconds: number): Promise<void> {
    const until = performance.now() + milliseconds;
    const running: Promise<void>[] = [];
    while (performance.now() < until) {
      await delay(this.#random.exponential((1_000 * MEAN_REQUESTS) / requestsPerSecond));
      running.push(this.#play(this.#begin()));
    }
    await Promise.all(running);
  }

  #begin(): Program {
    this.#begun += 1;
    const mean = this.#random.chance(0.75) ? 4 : 11;
    const turns = Math.max(2, Math.round(mean * (0.6 + 0.8 * this.#random.fraction())));
    const tools = Array.from({ length: turns }, () => this.#random.integer(0, 3));
    const idle = tools.reduce(
      (sum, count) =>
        sum + TURN_MILLISECONDS + PAUSE_MILLISECONDS + (count > 0 ? TOOL_MILLISECONDS : 0),
      0,
    );
    return {
      key: `program-${this.#begun}`,
      instance: this.#random.pickWeighted(INSTANCE_WEIGHTS),
      tools,
      beganAtMilliseconds: performance.now(),
      objectiveMilliseconds: idle * OBJECTIVE_FACTOR + OBJECTIVE_EXTRA_MILLISECONDS,
    };
  }

  async #play(program: Program): Promise<void> {
    const size = program.tools.reduce((sum, count) => sum + 1 + count, 0);
    for (const count of program.tools) {
      const isWhole = (await this.#turn(program)) && (await this.#callTools(program, count));
      if (!isWhole) {
        this.ends.push({ size, result: 'failed' });
        return;
      }
      await delay(PAUSE_MILLISECONDS);
    }
    const took = performance.now() - program.beganAtMilliseconds;
    this.ends.push({ size, result: took <= program.objectiveMilliseconds ? 'on-time' : 'late' });
  }

  /** A turn that failed is sent again twice at most. */
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

  /** A refused request comes again once, at the time that it was told. */
  async #request(program: Program, milliseconds: number, isTurn: boolean): Promise<boolean> {
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const isMoved = this.#random.chance(MOVED_SHARE);
      const instance = isMoved ? this.#random.pickWeighted(INSTANCE_WEIGHTS) : program.instance;
      const elapsed = performance.now() - program.beganAtMilliseconds;
      const expectedMilliseconds = Math.max(0, program.objectiveMilliseconds - elapsed) * 0.6;
      const decision = await this.#fleet.instances[instance]!.take({
        organisation: this.#organisation,
        programKey: program.key,
        stage:
          isTurn && this.#tellsBeginnings
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
