import { SeededRandom } from '@limpetnotch/stand-ins';
import { FullServiceQueue } from '../../src/contention/fullServiceQueue';
import type { RefusedRequest } from '../../src/contention/fullServiceQueue';

const TURNS = 6;
const TURN_MILLISECONDS = 50;
const PROGRAM_MILLISECONDS = 1_000;
const FORMER_RETURN_MILLISECONDS = 250;
const MAXIMUM_RETURNS = 4;
const RETRY_MILLISECONDS = 75;

interface Program {
  readonly organisation: string;
  readonly startedAt: number;
  turns: number;
  returns: number;
}

interface Waiting extends RefusedRequest {
  readonly program: Program;
  retryAt: number;
}

interface Options {
  readonly policy: 'former' | 'present';
  readonly seed: number;
  /** Load of an organisation relative to the slots, at a time. */
  readonly loads: Readonly<Record<string, (at: number) => number>>;
  readonly slotsAt: (at: number) => number;
}

interface Result {
  /** Programs that ended within their time, by organisation. */
  readonly inTime: Readonly<Record<string, number>>;
  readonly total: number;
  /** Turns that were served to programs which did not end in time. */
  readonly wasted: number;
}

const SLOTS = 24;
const DURATION_MILLISECONDS = 12_000;

let now = 0;
let restoreClock: PropertyDescriptor | undefined;

beforeEach(() => {
  restoreClock = Object.getOwnPropertyDescriptor(performance, 'now');
  Object.defineProperty(performance, 'now', { value: () => now, configurable: true });
});

afterEach(() => {
  Reflect.deleteProperty(performance, 'now');
  if (restoreClock) Object.defineProperty(performance, 'now', restoreClock);
});

/** Replays programs of several turns at one service with slots. */
const replay = ({ policy, seed, loads, slotsAt }: Options): Result => {
  const random = new SeededRandom(seed);
  const queue = new FullServiceQueue<Waiting>({ requests: 256, bytes: 1_000_000 }, () => 0.5);
  const running: { readonly program: Program; readonly endsAt: number }[] = [];
  const returning: { readonly program: Program; readonly at: number }[] = [];
  let waiting: Waiting[] = [];
  const inTime: Record<string, number> = {};
  const failed: Program[] = [];

  const isUnderWay = ({ turns }: Program): boolean => turns > 0;

  const refuse = (program: Program): void => {
    const refused = program;
    refused.returns += 1;
    if (refused.returns > MAXIMUM_RETURNS) {
      failed.push(program);
      return;
    }
    const left = program.startedAt + PROGRAM_MILLISECONDS - now;
    const delay =
      policy === 'former' ? FORMER_RETURN_MILLISECONDS : queue.computeReturn(Math.max(0, left / 2));
    returning.push({ program, at: now + delay });
  };

  const start = (program: Program): boolean => {
    if (running.length >= slotsAt(now)) return false;
    running.push({ program, endsAt: now + TURN_MILLISECONDS * (0.5 + random.fraction()) });
    return true;
  };

  const send = (program: Program): void => {
    const mustYield = policy === 'present' && queue.size > 0 && !isUnderWay(program);
    if (!mustYield && start(program)) return;
    if (policy === 'former' || mustYield) {
      refuse(program);
      return;
    }
    const finishAt = program.startedAt + PROGRAM_MILLISECONDS;
    const request: Waiting = {
      program,
      retryAt: now + RETRY_MILLISECONDS,
      isUnderWay: isUnderWay(program),
      priority: 0,
      finishAtMilliseconds: finishAt,
      waitUntilMilliseconds: now + Math.max(0, finishAt - now) / 4,
      arrivedAtMilliseconds: now,
      organisationShare: 0,
      bytes: 2_000,
    };
    waiting.push(request);
    queue.add(request).forEach((refused) => {
      waiting = waiting.filter((other) => other !== refused);
      refuse(refused.program);
    });
  };

  const tryAgain = (request: Waiting): void => {
    queue.remove(request);
    waiting = waiting.filter((other) => other !== request);
    send(request.program);
  };

  const endTurn = (program: Program): void => {
    const served = program;
    served.turns += 1;
    queue.recordEnd();
    if (policy === 'present') {
      const next = queue.takeFirst();
      if (next) tryAgain(next);
    }
    if (served.turns < TURNS) send(program);
    else {
      const isInTime = now <= program.startedAt + PROGRAM_MILLISECONDS;
      if (isInTime) inTime[program.organisation] = (inTime[program.organisation] ?? 0) + 1;
      else failed.push(program);
    }
  };

  const step = (): void => {
    Object.entries(loads).forEach(([organisation, loadAt]) => {
      const startsPerMillisecond = (loadAt(now) * SLOTS) / (TURNS * TURN_MILLISECONDS);
      if (random.chance(startsPerMillisecond)) {
        send({ organisation, startedAt: now, turns: 0, returns: 0 });
      }
    });
    running
      .filter(({ endsAt }) => endsAt <= now)
      .forEach((turn) => {
        running.splice(running.indexOf(turn), 1);
        endTurn(turn.program);
      });
    waiting.filter(({ retryAt }) => retryAt <= now).forEach(tryAgain);
    returning
      .filter(({ at }) => at <= now)
      .forEach((back) => {
        returning.splice(returning.indexOf(back), 1);
        send(back.program);
      });
  };

  for (now = 0; now < DURATION_MILLISECONDS; now += 1) step();
  const total = Object.values(inTime).reduce((sum, count) => sum + count, 0);
  return { inTime, total, wasted: failed.reduce((sum, { turns }) => sum + turns, 0) };
};

const FULL = (): number => SLOTS;

const compare = (
  loads: Options['loads'],
  slotsAt: Options['slotsAt'] = FULL,
): { former: Result; present: Result } => {
  const results = {
    former: replay({ policy: 'former', seed: 4, loads, slotsAt }),
    present: replay({ policy: 'present', seed: 4, loads, slotsAt }),
  };
  if (process.env.REPLAY_FIGURES) {
    process.stdout.write(`${expect.getState().currentTestName} | ${JSON.stringify(results)}\n`);
  }
  return results;
};

test('more programs end in time when all callers send 1.7 times the capacity', () => {
  const { former, present } = compare({ north: () => 1.7 });
  expect(present.total).toBeGreaterThan(former.total);
  expect(present.wasted).toBeLessThan(former.wasted);
});

test('more programs end in time when a third of the slots is unavailable', () => {
  const { former, present } = compare({ north: () => 0.9 }, (at) =>
    at > 3_000 && at < 9_000 ? SLOTS * (2 / 3) : SLOTS,
  );
  expect(present.total).toBeGreaterThanOrEqual(former.total);
  expect(present.wasted).toBeLessThanOrEqual(former.wasted);
});

test('the others lose no programs when one organisation sends 7.5 times its usual load', () => {
  const { former, present } = compare({
    north: (at) => (at > 3_000 && at < 9_000 ? 0.2 * 7.5 : 0.2),
    south: () => 0.2,
  });
  expect(present.inTime.south).toBeGreaterThanOrEqual((former.inTime.south ?? 0) * 0.95);
  expect(present.total).toBeGreaterThan(former.total);
});

test('nothing changes while the slots suffice', () => {
  const { former, present } = compare({ north: () => 0.4 });
  expect(present).toEqual(former);
});
