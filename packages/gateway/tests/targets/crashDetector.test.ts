import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { ConnectionCheck } from '../../src/targets/connectionCheck';
import { TargetDirectory } from '../../src/targets/targetDirectory';
import type { CrashEvidence } from '../../src/targets/crashDetector';
import { CrashDetector } from '../../src/targets/crashDetector';
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

const createDetector = (result: ConnectionCheck): CrashDetector =>
  new CrashDetector({
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

test('a broken connection to a target that refuses new ones is a crash', async () => {
  await createDetector('refused').investigate(interruptedRun());
  expect(crashes).toEqual(['connection-refused']);
});

test('a broken connection to a target that accepts new ones is not a crash', async () => {
  await createDetector('accepted').investigate(interruptedRun());
  expect(crashes).toEqual([]);
});

test('all runs interrupted by one crash are notified after one check', async () => {
  const detector = createDetector('refused');
  await Promise.all([
    detector.investigate(interruptedRun()),
    detector.investigate(interruptedRun()),
  ]);
  await detector.investigate(interruptedRun());
  expect(crashes).toHaveLength(3);
  expect(checks).toBe(1);
});

test('a restart under the same id is a crash', async () => {
  const detector = createDetector('accepted');
  await detector.investigate(interruptedRun());
  directory.put({ ...target, bornMilliseconds: SENT_AT_MILLISECONDS + 1 });
  detector.checkAnnouncements();
  expect(crashes).toEqual(['started-again']);
});

test('a later target at the same address is a crash', async () => {
  const detector = createDetector('unknown');
  await detector.investigate(interruptedRun());
  directory.put({ ...target, id: '2', bornMilliseconds: SENT_AT_MILLISECONDS + 1 });
  detector.checkAnnouncements();
  expect(crashes).toEqual(['address-taken']);
});

test('a broken connection to an address that was taken over before the request is not a crash', async () => {
  const detector = createDetector('refused');
  directory.put({ ...target, id: '2', bornMilliseconds: SENT_AT_MILLISECONDS - 1 });
  await detector.investigate(interruptedRun());
  expect(crashes).toEqual([]);
  expect(checks).toBe(0);
});

test('a response from another target at the address is a crash', async () => {
  const detector = createDetector('unknown');
  await detector.investigate(interruptedRun());
  detector.report(target, 'answered-as-another');
  expect(crashes).toEqual(['answered-as-another']);
});

test('an unresponsive target whose announcement lapses has crashed', async () => {
  const detector = createDetector('unknown');
  await detector.investigate(interruptedRun(true));
  directory.remove(target.id);
  detector.checkAnnouncements();
  expect(crashes).toEqual(['lapsed']);
});

test('the end of a leaving target is not a crash', async () => {
  const detector = createDetector('refused');
  directory.put({ ...target, state: 'leaving' });
  await detector.investigate(interruptedRun());
  directory.remove(target.id);
  await detector.investigate(interruptedRun());
  await detector.investigate(interruptedRun(true));
  expect(crashes).toEqual([]);
});

test('the end of a target that withdrew its announcement is not a crash', async () => {
  const detector = createDetector('refused');
  directory.remove(target.id);
  await detector.investigate(interruptedRun());
  expect(crashes).toEqual([]);
});

test('the end of a target long after an interruption is not attributed to the run', async () => {
  const detector = createDetector('unknown');
  await detector.investigate(interruptedRun(true));
  jest.advanceTimersByTime(6_000);
  directory.remove(target.id);
  detector.checkAnnouncements();
  expect(crashes).toEqual([]);
});
