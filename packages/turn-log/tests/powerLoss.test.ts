import { silentLogger } from '@limpetnotch/observability';
import fc from 'fast-check';
import { TurnLog } from '../src/turnLog';
import { turnOf } from './support/turn';
import type { Draw } from './support/unreliableFiles';
import { UnreliableFiles } from './support/unreliableFiles';

const SEGMENT_BYTES = 600;

/** What happens to a log and its disk. */
type Step =
  /** Turns that are appended at the same time. */
  | { readonly kind: 'append'; readonly turns: number }
  | { readonly kind: 'kill' }
  /** While turns are on their way, some of which may have been acknowledged. */
  | { readonly kind: 'lose-power'; readonly turns: number; readonly draws: readonly number[] }
  | { readonly kind: 'fail-sync' }
  | { readonly kind: 'fill'; readonly roomBytes: number };

const steps: fc.Arbitrary<readonly Step[]> = fc.array(
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

const drawFrom = (draws: readonly number[]): Draw => {
  let drawn = 0;
  return () => {
    drawn += 1;
    return (draws[drawn % draws.length] ?? 0) / 1_000;
  };
};

const lasting = { expiresAtMilliseconds: Number.MAX_SAFE_INTEGER };

/** A log that is reopened over the same disk, and the turns that it has acknowledged. */
class Subject {
  readonly #files = new UnreliableFiles();

  readonly #kept: string[] = [];

  readonly #asked: string[] = [];

  #log: TurnLog | undefined;

  async open(): Promise<void> {
    const options = { files: this.#files, logger: silentLogger, segmentBytes: SEGMENT_BYTES };
    this.#log = (await TurnLog.open(options))._unsafeUnwrap();
  }

  async take(step: Step): Promise<void> {
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
        this.#files.losePower(drawFrom(step.draws));
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

  /** Every acknowledged turn is found, and whatever is found is what was asked to be kept. */
  async check(): Promise<void> {
    for (const id of this.#asked) {
      const read = (await this.#log!.read('north', id))._unsafeUnwrap();
      if (this.#kept.includes(id) && !read) throw new Error(`${id} was kept and is lost`);
      if (read && Buffer.from(read.output).toString() !== `output of ${id}`) {
        throw new Error(`${id} has another text`);
      }
    }
  }

  #append(turns: number): readonly Promise<void>[] {
    const log = this.#log!;
    const ids = Array.from({ length: turns }, (_one, index) => String(this.#asked.length + index));
    this.#asked.push(...ids);
    return ids.map(async (id) => {
      const result = await log.append(turnOf(id, lasting));
      // What a process acknowledges after its power is gone reaches nobody.
      if (result.isOk() && log === this.#log) this.#kept.push(id);
    });
  }
}

test('no acknowledged turn is lost, and none is found with the text of another', async () => {
  const property = fc.asyncProperty(steps, async (taken) => {
    const subject = new Subject();
    await subject.open();
    for (const step of taken) {
      await subject.take(step);
      await subject.check();
    }
    await subject.take({ kind: 'lose-power', turns: 3, draws: [1, 700, 300, 20] });
    await subject.check();
  });
  await fc.assert(property, { numRuns: 400, seed: 20_261_204 });
}, 60_000);
