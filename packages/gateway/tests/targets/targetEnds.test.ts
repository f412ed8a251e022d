import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { ConnectionCheck } from '../../src/targets/connectionCheck';
import { TargetDirectory } from '../../src/targets/targetDirectory';
import type { CrashEvidence } from '../../src/targets/targetEnds';
import { TargetEnds } from '../../src/targets/targetEnds';
import { fleetTarget } from '../support/fleetTarget';

const BORN = 1_000;
const SENT = 5_000;
const target = fleetTarget({ bornMilliseconds: BORN });

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

const endsWith = (result: ConnectionCheck): TargetEnds =>
  new TargetEnds({
    directory,
    logger: silentLogger,
    metrics: new MemoryMetrics(),
    check: async () => {
      checks += 1;
      return result;
    },
  });

const interrupted = (isSilent = false) => ({
  target,
  request: 'r1',
  sentAtMilliseconds: SENT,
  isSilent,
  onCrash: (evidence: CrashEvidence) => {
    crashes.push(evidence);
  },
});

test('a break at a target that refuses connections is a crash', async () => {
  await endsWith('refused').followUp(interrupted());
  expect(crashes).toEqual(['connection-refused']);
});

test('a break at a target that accepts connections is none', async () => {
  await endsWith('accepted').followUp(interrupted());
  expect(crashes).toEqual([]);
});

test('runs that one crash interrupts are told by one check', async () => {
  const ends = endsWith('refused');
  await Promise.all([ends.followUp(interrupted()), ends.followUp(interrupted())]);
  await ends.followUp(interrupted());
  expect(crashes).toHaveLength(3);
  expect(checks).toBe(1);
});

test('another start under the id is a crash', async () => {
  const ends = endsWith('accepted');
  await ends.followUp(interrupted());
  directory.put({ ...target, bornMilliseconds: SENT + 1 });
  ends.review();
  expect(crashes).toEqual(['started-again']);
});

test('a later target at the address is a crash', async () => {
  const ends = endsWith('unknown');
  await ends.followUp(interrupted());
  directory.put({ ...target, id: '2', bornMilliseconds: SENT + 1 });
  ends.review();
  expect(crashes).toEqual(['address-taken']);
});

test('a break at an address that was taken before is no crash', async () => {
  const ends = endsWith('refused');
  directory.put({ ...target, id: '2', bornMilliseconds: SENT - 1 });
  await ends.followUp(interrupted());
  expect(crashes).toEqual([]);
  expect(checks).toBe(0);
});

test('an answer from another target at the address is a crash', async () => {
  const ends = endsWith('unknown');
  await ends.followUp(interrupted());
  ends.note(target, 'answered-as-another');
  expect(crashes).toEqual(['answered-as-another']);
});

test('a silent target whose announcement lapses has crashed', async () => {
  const ends = endsWith('unknown');
  await ends.followUp(interrupted(true));
  directory.remove(target.id);
  ends.review();
  expect(crashes).toEqual(['lapsed']);
});

test('the end of a target that leaves is no crash', async () => {
  const ends = endsWith('refused');
  directory.put({ ...target, state: 'leaving' });
  await ends.followUp(interrupted());
  directory.remove(target.id);
  await ends.followUp(interrupted());
  await ends.followUp(interrupted(true));
  expect(crashes).toEqual([]);
});

test('the end of a target that withdrew its announcement is no crash', async () => {
  const ends = endsWith('refused');
  directory.remove(target.id);
  await ends.followUp(interrupted());
  expect(crashes).toEqual([]);
});

test('an end long after the break is none of its doing', async () => {
  const ends = endsWith('unknown');
  await ends.followUp(interrupted(true));
  jest.advanceTimersByTime(6_000);
  directory.remove(target.id);
  ends.review();
  expect(crashes).toEqual([]);
});
