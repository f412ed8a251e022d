import { silentLogger } from '@limpetnotch/observability';
import fc from 'fast-check';
import { TurnLog } from '../src/turnLog';
import { createTurn } from './support/createTurn';
import type { Draw } from './support/unreliableFiles';
import { UnreliableFiles } from './support/unreliableFiles';

const SEGMENT_BYTES = 600;

/** One step of a scenario for a log and its disk. */
type Step =
  /** Appends a number of turns at the same time. */
  | { readonly kind: 'append'; readonly turns: number }
  | { readonly kind: 'kill' }
  /** Loses power while turns are being written; some may have been acknowledged. */
  | { readonly kind: 'lose-power'; readonly turns: number; readonly draws: readonly number[] }
  | { readonly kind: 'fail-sync' }
  | { readonly kind: 'fill'; readonly roomBytes: number };

const scenarioArbitrary: fc.Arbitrary<readonly Step[]> = fc.array(
  fc.oneof(
    fc.record({ kind: fc.constant('append' as const), turns: fc.integer({ min: 1, max: 12 }) }),
    fc.record({ kind: fc.constant('kill' as const) }),
    fc.record({
      kind: fc.constant('lose-power' as const),
      turns: fc.integer({ min: 0, max: 12 }),
      draws: fc.array(fc.integer({ min: 0, max: 999 }), { minLength: 4, maxLength: 12 }),
    }),
    fc.record({ kind: fc.constant('fail-sync' as const) }),
    fc.record({ kind: fc.constant('fill' as const), roomBytes: fc.integer({ max: 900 }) }),
  ),
  { maxLength: 14 },
);

const createDraw = (draws: readonly number[]): Draw => {
  let drawn = 0;
  return () => {
    drawn += 1;
    return (draws[drawn % draws.length] ?? 0) / 1_000;
  };
};

const WITHOUT_EXPIRY = { expiresAtMilliseconds: Number.MAX_SAFE_INTEGER };

/** A log that is reopened on the same disk, with the ids that it has acknowledged. */
class ReopenedLog {
  readonly #files = new UnreliableFiles();

  readonly #acknowledgedIds: string[] = [];

  readonly #requestedIds: string[] = [];

  #log: TurnLog | undefined;

  async open(): Promise<void> {
    const options = { files: this.#files, logger: silentLogger, segmentBytes: SEGMENT_BYTES };
    this.#log = (await TurnLog.open(options))._unsafeUnwrap();
  }

  async perform(step: Step): Promise<void> {
    switch (step.kind) {
      case 'append':
        await Promise.all(this.#append(step.turns));
        return;
      case 'kill':
        await this.open();
        return;
      case 'lose-power': {
        const appended = this.#append(step.turns);
        if ((step.draws[0] ?? 0) % 2 === 0) await appended[0];
        this.#files.losePower(createDraw(step.draws));
        await this.open();
        return;
      }
      case 'fail-sync':
        this.#files.failingSyncs = 1;
        return;
      case 'fill': {
        const { usedBytes } = this.#files;
        this.#files.capacityBytes = step.roomBytes < 0 ? Infinity : usedBytes + step.roomBytes;
      }
    }
  }

  /**
   * Checks that every acknowledged turn is found, that every found turn has its own text, and that
   * the remains of unfinished writes do not count as lost turns.
   */
  async check(): Promise<void> {
    if (this.#log!.hasLostRecords) throw new Error('a loss was reported');
    for (const id of this.#requestedIds) {
      const read = (await this.#log!.read('north', id))._unsafeUnwrap();
      if (this.#acknowledgedIds.includes(id) && !read) throw new Error(`turn ${id} was lost`);
      if (read && Buffer.from(read.output).toString() !== `output of ${id}`) {
        throw new Error(`turn ${id} has the text of another`);
      }
    }
  }

  #append(turns: number): readonly Promise<void>[] {
    const log = this.#log!;
    const ids = Array.from({ length: turns }, (_one, index) =>
      String(this.#requestedIds.length + index),
    );
    this.#requestedIds.push(...ids);
    return ids.map(async (id) => {
      const result = await log.append(createTurn(id, WITHOUT_EXPIRY));
      // Acknowledgements of the previous process after the power loss do not count.
      if (result.isOk() && log === this.#log) this.#acknowledgedIds.push(id);
    });
  }
}

test('no acknowledged turn is lost, and none is found with the text of another', async () => {
  const property = fc.asyncProperty(scenarioArbitrary, async (taken) => {
    const subject = new ReopenedLog();
    await subject.open();
    for (const step of taken) {
      await subject.perform(step);
      await subject.check();
    }
    await subject.perform({ kind: 'lose-power', turns: 3, draws: [1, 700, 300, 20] });
    await subject.check();
  });
  await fc.assert(property, { numRuns: 400, seed: 20_261_204 });
}, 60_000);
