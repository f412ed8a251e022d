import { SeededRandom } from '@limpetnotch/stand-ins';
import { admitProgramStart } from '../../src/carried/admitProgramStart';

const model = { requestsPerSecond: 10, requestsPerProgramSecond: 2 };

test.each([
  [0, true],
  [4, true],
  [5, false],
])('with %i programs under way, another one may start: %s', (activePrograms, mayStart) => {
  expect(admitProgramStart({ activePrograms, priority: 0, services: [model] })).toBe(mayStart);
});

test('programs of a lower priority are refused first', () => {
  const decide = (priority: number): boolean =>
    admitProgramStart({ activePrograms: 4, priority, services: [model] });
  expect([decide(0), decide(1), decide(9)]).toEqual([true, false, false]);
});

test('the service with the least capacity decides', () => {
  const tools = { requestsPerSecond: 3, requestsPerProgramSecond: 2 };
  const services = [model, tools];
  expect(admitProgramStart({ activePrograms: 1, priority: 0, services })).toBe(false);
});

test('a program may start while no target names a limit', () => {
  expect(admitProgramStart({ activePrograms: 500, priority: 9, services: [] })).toBe(true);
});

interface Program {
  remainingTurns: number;
  readonly dueAt: number;
}

/** Serves turns of programs in the order of their arrival; returns the programs that end in time. */
const countOnTime = (isControlled: boolean): number => {
  const random = new SeededRandom(7);
  const turnsPerSecond = 20;
  let running: Program[] = [];
  let onTime = 0;
  for (let step = 0; step < 20 * turnsPerSecond; step += 1) {
    const now = step / turnsPerSecond;
    if (random.chance(0.5)) {
      const situation = {
        activePrograms: running.length,
        priority: 0,
        services: [{ requestsPerSecond: turnsPerSecond, requestsPerProgramSecond: 2.5 }],
      };
      const mayStart = !isControlled || admitProgramStart(situation);
      if (mayStart) running.push({ remainingTurns: 8, dueAt: now + 5 });
    }
    const [next, ...others] = running;
    if (next) {
      next.remainingTurns -= 1;
      running = next.remainingTurns === 0 ? others : [...others, next];
      if (next.remainingTurns === 0 && now <= next.dueAt) onTime += 1;
    }
  }
  return onTime;
};

// Load pattern: limits take a quarter of the turns for 20 s; unchecked, nearly all programs end late.
test('under limits, more programs end in time if only some start', () => {
  expect(countOnTime(true)).toBeGreaterThan(3 * countOnTime(false));
});
