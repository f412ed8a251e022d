import { randomUUID } from 'node:crypto';
import type { CallOutcome, CallRequest } from '@limpetnotch/programs';
import { partitionOf } from '@limpetnotch/partitions';
import { delay } from '@limpetnotch/supervision';
import type { JournalLoadFigures } from './journalFigures';
import { quantile } from './journalFigures';
import { JournalFleet } from './journalFleet';

const MILLISECONDS_PER_SECOND = 1_000;
const SETTLE_MILLISECONDS = 8_000;
const REQUEST_BYTES = 1_500;
const RESPONSE_BYTES = 1_500;
const USAGE = { tokens: 300, calls: 1, spendMicros: 10 };

/** Options of {@link measureJournalLoad}. */
export interface JournalLoadOptions {
  readonly instances: number;
  readonly partitions: number;
  /** Number of programs; each makes its calls one after another. */
  readonly programs: number;
  /** Pause of a program between two calls, in milliseconds. */
  readonly pauseMilliseconds: number;
  readonly seconds: number;
}

const createRequest = (path: string): CallRequest => ({
  program: { organisation: 'organisation', path },
  singleCall: false,
  idempotencyKey: randomUUID(),
  requestDigest: randomUUID(),
  route: 'chat',
  idempotent: true,
  worstCase: USAGE,
  limits: {},
  requestBodyBase64: Buffer.alloc(REQUEST_BYTES, path).toString('base64'),
});

const OUTCOME: CallOutcome = {
  kind: 'answered',
  answer: {
    status: 200,
    contentType: 'application/json',
    bodyBase64: Buffer.alloc(RESPONSE_BYTES, 'answer').toString('base64'),
  },
  usage: USAGE,
};

/** Resolves to the time of a call's commits in milliseconds, or `undefined` if it was refused. */
const runCall = async (
  fleet: JournalFleet,
  path: string,
  partition: number,
): Promise<number | undefined> => {
  const ledger = fleet.ledgerOf(partition);
  const startedAt = performance.now();
  const started = await ledger?.begin(createRequest(path), new AbortController().signal);
  const call = started?.unwrapOr(undefined);
  const finished = call?.kind === 'run' && (await ledger?.finish(call.callId, OUTCOME));
  const isCommitted = finished && finished.isOk();
  return isCommitted ? performance.now() - startedAt : undefined;
};

/** Runs programs against a fleet and measures the load of its journals on the store. */
export const measureJournalLoad = async (
  options: JournalLoadOptions,
): Promise<JournalLoadFigures> => {
  const { instances, partitions, programs, pauseMilliseconds, seconds } = options;
  const fleet = new JournalFleet(partitions);
  await fleet.start(instances);
  // Waits until members that started later have received their partitions.
  await delay(SETTLE_MILLISECONDS);
  await fleet.waitUntilServed();
  const commits: number[] = [];
  let refusedCalls = 0;
  const before = { store: fleet.statistics(), commits: fleet.counter('journal.commits') };
  const startedAt = performance.now();
  const end = startedAt + seconds * MILLISECONDS_PER_SECOND;
  const runProgram = async (number: number): Promise<void> => {
    const path = `program-${number}`;
    const partition = partitionOf(`organisation/${path}`, partitions);
    await delay(pauseMilliseconds * Math.random());
    while (performance.now() < end) {
      const milliseconds = await runCall(fleet, path, partition);
      if (milliseconds === undefined) refusedCalls += 1;
      else commits.push(milliseconds);
      await delay(pauseMilliseconds);
    }
  };
  await Promise.all(Array.from({ length: programs }, (_value, number) => runProgram(number)));
  const elapsed = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
  const after = { store: fleet.statistics(), commits: fleet.counter('journal.commits') };
  const ledgers = Array.from({ length: partitions }, (_value, number) => fleet.ledgerOf(number));
  const characters = ledgers.reduce(
    (sum, ledger) => sum + JSON.stringify(ledger?.snapshot() ?? null).length,
    0,
  );
  await fleet.stop();
  return {
    instances,
    programs,
    seconds: elapsed,
    callsPerSecond: commits.length / elapsed,
    commitsPerCall: (after.commits - before.commits) / Math.max(1, commits.length),
    storeWritesPerSecond: (after.store.writes - before.store.writes) / elapsed,
    storeReadsPerSecond: (after.store.reads - before.store.reads) / elapsed,
    commitMillisecondsP50: quantile(commits, 0.5),
    commitMillisecondsP95: quantile(commits, 0.95),
    snapshotCharactersPerProgram: characters / programs,
    refusedCalls,
  };
};
