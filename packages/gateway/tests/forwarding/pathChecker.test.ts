import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { ConnectionCheck } from '../../src/targets/connectionCheck';
import { PathChecker } from '../../src/forwarding/pathChecker';
import { TargetPaths } from '../../src/forwarding/targetPaths';
import { TargetDirectory } from '../../src/targets/targetDirectory';
import { TargetLoads } from '../../src/targets/targetLoads';
import { fleetTarget } from '../support/fleetTarget';

const target = fleetTarget({ id: 'a', address: '127.0.0.1:9001' });

let evacuatedZones: string[];
let own: ConnectionCheck;
/** Result of connections to other targets. */
let ownToOthers: ConnectionCheck;
let ownChecks: number;
let checkedAddresses: string[];
let peerResults: Readonly<Record<string, ConnectionCheck | undefined>>;
let loads: TargetLoads;
let paths: TargetPaths;
let checker: PathChecker;
let end: AbortController;

beforeEach(() => {
  jest.useFakeTimers();
  own = 'accepted';
  ownToOthers = 'accepted';
  ownChecks = 0;
  checkedAddresses = [];
  evacuatedZones = [];
  peerResults = { p: 'accepted' };
  loads = new TargetLoads();
  end = new AbortController();
  const directory = new TargetDirectory();
  directory.put(target);
  directory.put(fleetTarget({ id: 'b', address: '127.0.0.1:9002' }));
  directory.put(fleetTarget({ id: 'c', address: '127.0.0.1:9003' }));
  directory.put(fleetTarget({ id: 'd', address: '127.0.0.1:9004', availabilityZone: 'z' }));
  directory.put(fleetTarget({ id: 'e', address: '127.0.0.1:9005', availabilityZone: 'z' }));
  const logger = silentLogger;
  const metrics = new MemoryMetrics();
  paths = new TargetPaths({ targets: () => directory.all, logger, metrics });
  checker = new PathChecker({
    paths,
    peers: {
      get names() {
        return Object.keys(peerResults);
      },
      checkTarget: async (name) => peerResults[name],
    },
    directory,
    loads,
    isEvacuated: (zone) => evacuatedZones.includes(zone),
    logger,
    metrics,
    check: async (address) => {
      checkedAddresses.push(address);
      if (address !== target.address) return ownToOthers;
      ownChecks += 1;
      return own;
    },
  });
  void checker.task.run({ signal: end.signal, ready: () => undefined });
});

afterEach(() => {
  end.abort();
  jest.useRealTimers();
});

const pass = (milliseconds: number): Promise<void> => jest.advanceTimersByTimeAsync(milliseconds);

// Packets are dropped: no error tells an instance that it has lost its connections.
test('a silent target that another instance reaches has a cut path', async () => {
  own = 'unknown';
  loads.recordStart('a');
  await pass(400);
  expect([paths.isCut(target), paths.isSilent(target)]).toEqual([true, true]);
});

test('a silent target that accepts connections is at work', async () => {
  loads.recordStart('a');
  await pass(900);
  expect([paths.isCut(target), ownChecks]).toEqual([false, 1]);
});

// A sound target may fall silent for a second; so may one that has crashed.
test('a silent target that nobody reaches has no cut path', async () => {
  own = 'unknown';
  peerResults = { p: 'unknown', q: 'refused' };
  loads.recordStart('a');
  await pass(900);
  expect(paths.isCut(target)).toBe(false);
});

test('silence is not checked without work under way', async () => {
  await pass(5_000);
  expect(ownChecks).toBe(0);
});

test('a refused connection is one of the path if another instance reaches the target', async () => {
  expect(await checker.explainFailure(target, true)).toBe('cut');
  expect(paths.isSilent(target)).toBe(false);
});

test('a refused connection is one of the target if all are refused', async () => {
  peerResults = { p: 'refused', q: undefined };
  expect(await checker.explainFailure(target, true)).toBe('target-refuses');
});

test('one instance that reaches the target outweighs others that are cut off, too', async () => {
  peerResults = { p: 'refused', q: 'unknown', r: 'accepted', s: undefined };
  expect(await checker.explainFailure(target, true)).toBe('cut');
});

test('a check after an interrupted run finds no crash where only the path is cut', async () => {
  own = 'refused';
  expect(await checker.checkTarget(target)).toBe('unknown');
});

test('a check after an interrupted run finds a crash where all are refused', async () => {
  own = 'refused';
  peerResults = { p: 'refused' };
  expect(await checker.checkTarget(target)).toBe('refused');
});

// A request that crashed its targets through other instances was never taken for the cause.
test('other instances tell of a crash while the path to the target is cut', async () => {
  own = 'unknown';
  await checker.explainFailure(target, false);
  expect(paths.isCut(target)).toBe(true);
  peerResults = { p: 'refused', q: undefined };
  expect(await checker.checkTarget(target)).toBe('refused');
});

test('the only instance believes its own check', async () => {
  own = 'refused';
  peerResults = {};
  expect(await checker.checkTarget(target)).toBe('refused');
});

test('a cut path is restored soon after a connection works again', async () => {
  own = 'refused';
  await checker.explainFailure(target, true);
  await pass(2_000);
  expect(paths.isCut(target)).toBe(true);
  own = 'accepted';
  await pass(100);
  expect(paths.isCut(target)).toBe(false);
});

// At the beginning of a cut, instances that were cut off together took each other's word for a crash.
test('a refusal says nothing if other targets refuse, too', async () => {
  own = 'refused';
  ownToOthers = 'refused';
  expect(await checker.answer(target)).toBe('unknown');
  peerResults = { p: 'unknown' };
  expect(await checker.checkTarget(target)).toBe('unknown');
  expect(await checker.explainFailure(target, true)).toBe('unknown');
});

test('a refusal is believed without the word of others if other targets are reached', async () => {
  peerResults = { p: undefined };
  expect(await checker.explainFailure(target, true)).toBe('target-refuses');
});

test('an instance without a path to a target can not tell others about it', async () => {
  own = 'refused';
  await checker.explainFailure(target, true);
  expect(await checker.answer(target)).toBe('unknown');
});

// Bytes from a target that has crashed since made a crash look like a cut path.
test('another instance gets the result of a connection, even after recent bytes', async () => {
  own = 'refused';
  loads.recordReceivedBytes('a');
  expect([await checker.answer(target), ownChecks]).toEqual(['refused', 1]);
});

test('several instances that ask at once share one connection', async () => {
  await Promise.all([checker.answer(target), checker.answer(target)]);
  expect(ownChecks).toBe(1);
});

// A zone that is evacuated may go down, and would look like a cut of this instance.
test('targets of evacuated zones say nothing about the path to another target', async () => {
  peerResults = { p: 'unknown' };
  evacuatedZones = ['z'];
  const verdicts = [];
  for (let count = 0; count < 6; count += 1) {
    const verdict = checker.explainFailure(target, true);
    await pass(100);
    verdicts.push(await verdict);
  }
  expect(new Set(verdicts)).toEqual(new Set(['target-refuses']));
  expect(new Set(checkedAddresses)).toEqual(new Set(['127.0.0.1:9002', '127.0.0.1:9003']));
});
