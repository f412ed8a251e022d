import { silentLogger } from '@limpetnotch/observability';
import fc from 'fast-check';
import { TurnLog } from '../src/turnLog';
import { createTurn } from './support/createTurn';
import { UnreliableFiles } from './support/unreliableFiles';

const MARGIN_MILLISECONDS = 10_000;
const MILLISECONDS_PER_STEP = 100_000;

const TURNS = 10;

interface StoredTurn {
  readonly parentId: string;
  readonly expiresAtMilliseconds: number;
}

/** Appends a turn that continues any other one, in any order, after a time in which turns expire. */
const stepArbitrary = fc.record({
  id: fc.integer({ min: 1, max: TURNS }),
  parent: fc.integer({ min: 0, max: TURNS }),
  lifetime: fc.integer({ min: 1, max: 8 }),
  elapsed: fc.integer({ min: 0, max: 3 }),
  isReopened: fc.boolean(),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/** A log, and the turns that it must still have. */
class ObservedLog {
  readonly #files = new UnreliableFiles();

  readonly #turns = new Map<string, StoredTurn>();

  #log: TurnLog | undefined;

  #now = 0;

  async open(): Promise<void> {
    const options = { files: this.#files, logger: silentLogger, segmentBytes: 200 };
    this.#log = (await TurnLog.open(options))._unsafeUnwrap();
  }

  async perform({ id, parent, lifetime, elapsed, isReopened }: Step): Promise<void> {
    const turn = this.#turns.get(String(id)) ?? {
      parentId: parent === 0 ? '' : String(parent),
      expiresAtMilliseconds: this.#now + lifetime * MILLISECONDS_PER_STEP,
    };
    (await this.#log!.append(createTurn(String(id), turn)))._unsafeUnwrap();
    this.#turns.set(String(id), turn);
    if (isReopened) await this.open();
    this.#now += elapsed * MILLISECONDS_PER_STEP;
    await this.#log!.removeExpired(this.#now);
    this.#check();
  }

  /** Checks that a turn that has not expired is present with its ancestors. */
  #check(): void {
    this.#turns.forEach((_turn, id) => {
      if (this.#isDue(id) && !this.#log!.has('north', id)) {
        throw new Error(`turn ${id} was removed`);
      }
    });
    [...this.#turns.keys()]
      .filter((id) => !this.#log!.has('north', id))
      .forEach((id) => this.#turns.delete(id));
  }

  #isDue(id: string): boolean {
    return [...this.#turns].some(([descendant, { expiresAtMilliseconds }]) => {
      const isLive = expiresAtMilliseconds + MARGIN_MILLISECONDS >= this.#now;
      return isLive && this.#continues(descendant, id);
    });
  }

  #continues(descendant: string, ancestor: string): boolean {
    const visited = new Set<string>();
    let current = descendant;
    while (this.#turns.has(current) && !visited.has(current)) {
      if (current === ancestor) return true;
      visited.add(current);
      current = this.#turns.get(current)!.parentId;
    }
    return false;
  }
}

test('no turn is removed before the youngest turn that continues it has expired', async () => {
  const steps = fc.array(stepArbitrary, { minLength: 1, maxLength: 30 });
  const property = fc.asyncProperty(steps, async (taken) => {
    const subject = new ObservedLog();
    await subject.open();
    for (const step of taken) await subject.perform(step);
  });
  await fc.assert(property, { numRuns: 500, seed: 20_261_206 });
}, 60_000);
