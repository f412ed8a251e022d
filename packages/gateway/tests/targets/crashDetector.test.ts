import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { ConnectionCheck } from '../../src/targets/connectionCheck';
import { TargetDirectory } from '../../src/targets/targetDirectory';
import type { CrashEvidence } from '../../src/targets/targetEnds';
import { TargetEnds } from '../../src/targets/targetEnds';
import { fleetTarget } from '../support/fleetTarget';

const STARTED_AT_MILLISECONDS = 1_000;
const SENT_AT_MILLISECONDS = 5_000;
const target = fleetTarget({ bornMilliseconds: STARTED_AT_MILLISECONDS });

let directory: TargetDirectory;
let crashes: CrashEvidence[];
let checks: number;

beforeEach(() => {
  jest.useFakeTimers();
  directory = new TargetDirectory();
  directory.put(target);
  crashes = [];
  checks = 0;
});

afterEach(() => {
  jest.useRealTimers();
});

const createDetector = (result: ConnectionCheck): TargetEnds =>
  new TargetEnds({
    directory,
    logger: silentLogger,
    metrics: new MemoryMetrics(),
    check: async () => {
      checks += 1;
      return result;
    },
  });

const interruptedRun = (isUnresponsive = false) => ({
  target,
  request: 'r1',
  sentAtMilliseconds: SENT_AT_MILLISECONDS,
  isUnresponsive,
  onCrash: (evidence: CrashEvidence) => {
    crashes.push(evidence);
  },
});

test('a break at a target that refuses connections is a crash', async () => {
  await createDetector('refused').investigate(interruptedRun());
  expect(crashes).toEqual(['connection-refused']);
});

test('a break at a target that accepts connections is none', async () => {
  await createDetector('accepted').investigate(interruptedRun());
  expect(crashes).toEqual([]);
});

test('runs that one crash interrupts are told by one check', async () => {
  const detector = createDetector('refused');
  await Promise.all([
    detector.investigate(interruptedRun()),
    detector.investigate(interruptedRun()),
  ]);
  await detector.investigate(interruptedRun());
  expect(crashes).toHaveLength(3);
  expect(checks).toBe(1);
});

test('another start under the id is a crash', async () => {
  const detector = createDetector('accepted');
  await detector.investigate(interruptedRun());
  directory.put({ ...target, bornMilliseconds: SENT_AT_MILLISECONDS + 1 });
  detector.review();
  expect(crashes).toEqual(['started-again']);
});

test('a later target at the address is a crash', async () => {
  const detector = createDetector('unknown');
  await detector.investigate(interruptedRun());
  directory.put({ ...target, id: '2', bornMilliseconds: SENT_AT_MILLISECONDS + 1 });
  detector.review();
  expect(crashes).toEqual(['address-taken']);
});

test('a break at an address that was taken before is no crash', async () => {
  const detector = createDetector('refused');
  directory.put({ ...target, id: '2', bornMilliseconds: SENT_AT_MILLISECONDS - 1 });
  await detector.investigate(interruptedRun());
  expect(crashes).toEqual([]);
  expect(checks).toBe(0);
});

test('an answer from another target at the address is a crash', async () => {
  const detector = createDetector('unknown');
  await detector.investigate(interruptedRun());
  detector.reportCrash(target, 'answered-as-another');
  expect(crashes).toEqual(['answered-as-another']);
});

test('a silent target whose announcement lapses has crashed', async () => {
  const detector = createDetector('unknown');
  await detector.investigate(interruptedRun(true));
  directory.remove(target.id);
  detector.review();
  expect(crashes).toEqual(['lapsed']);
});

test('the end of a target that leaves is no crash', async () => {
  const detector = createDetector('refused');
  directory.put({ ...target, state: 'leaving' });
  await detector.investigate(interruptedRun());
  directory.remove(target.id);
  await detector.investigate(interruptedRun());
  await detector.investigate(interruptedRun(true));
  expect(crashes).toEqual([]);
});

test('the end of a target that withdrew its announcement is no crash', async () => {
  const detector = createDetector('refused');
  directory.remove(target.id);
  await detector.investigate(interruptedRun());
  expect(crashes).toEqual([]);
});

test('an end long after the break is none of its doing', async () => {
  const detector = createDetector('unknown');
  await detector.investigate(interruptedRun(true));
  jest.advanceTimersByTime(6_000);
  directory.remove(target.id);
  detector.review();
  expect(crashes).toEqual([]);
});
