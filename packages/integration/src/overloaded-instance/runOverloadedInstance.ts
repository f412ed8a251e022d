import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { CallerRecord, TargetRun } from '@limpetnotch/stand-ins';
import { CallerConnection, PLATFORM_PORTS, platformRequestHeaders } from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import { SoakFleet } from '../signal-soak/soakFleet';
import { SOAK_ROUTES } from '../signal-soak/soakRoutes';

const GRACE_SECONDS = 2;
/** Processor time that the instance gets between two pauses, so that it has a fifth of a processor. */
const PROCESSOR_MILLISECONDS = 20;
const PAUSE_MILLISECONDS = 80;
/** Longest time between two pauses, for an instance that has nothing to do. */
const LONGEST_RUN_MILLISECONDS = 100;
const PROCESSOR_CHECK_MILLISECONDS = 2;
/** Pause with which the overload begins, so that connections have queued. */
const FIRST_PAUSE_MILLISECONDS = 1_000;
const OVERLOAD_MILLISECONDS = 16_000;
/** More than a fifth of a processor bears. */
const REQUESTS_PER_SECOND = 120;
const TICK_MILLISECONDS = 10;
/** Callers of idempotent requests leave when a third of their time has passed without an answer. */
const DEADLINE_MILLISECONDS = 1_200;
const PATIENCE_MILLISECONDS = 400;
/** Index of the key without a rate limit. */
const UNLIMITED_KEY = 1;
const MILLISECONDS_PER_SECOND = 1_000;

/** What callers and targets saw of an overloaded instance. */
export interface OverloadedInstanceResult {
  readonly records: readonly CallerRecord[];
  readonly runs: readonly TargetRun[];
  /** Time at which the first pause ended. */
  readonly resumedAt: number;
}

/** Runs an instance that is asked for more than its processor bears, on connections of one request. */
export const runOverloadedInstance = async (program: string): Promise<OverloadedInstanceResult> => {
  const folder = await mkdtemp(join(tmpdir(), 'limpetnotch-overloaded-'));
  const runs: TargetRun[] = [];
  const fleet = await SoakFleet.start({
    instances: 1,
    graceSeconds: GRACE_SECONDS,
    program,
    folder,
    record: (run) => runs.push(run),
  });
  const [instance] = fleet.instances;
  const [route] = SOAK_ROUTES;
  if (!instance || !route) throw new Error('the fleet has no instance or no route');
  const send = async (id: string): Promise<CallerRecord | undefined> => {
    const connection = await CallerConnection.open(instance.host, PLATFORM_PORTS.entry);
    const record = await connection?.send({
      id,
      method: 'GET',
      path: `/${route.name}/1x20`,
      headers: platformRequestHeaders({
        id,
        host: fleet.access.host,
        key: fleet.access.keys[UNLIMITED_KEY] ?? '',
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
      }),
      body: '',
      leaveAfterMilliseconds: undefined,
      giveUpAfterMilliseconds: PATIENCE_MILLISECONDS,
    });
    connection?.close();
    return record;
  };
  const end = new AbortController();
  const runUntilPause = async (): Promise<void> => {
    const startedAt = performance.now();
    const usedBefore = await instance.readProcessorMilliseconds();
    let used = usedBefore;
    while (
      used - usedBefore < PROCESSOR_MILLISECONDS &&
      performance.now() - startedAt < LONGEST_RUN_MILLISECONDS
    ) {
      await delay(PROCESSOR_CHECK_MILLISECONDS);
      used = await instance.readProcessorMilliseconds();
    }
  };
  const throttle = async (): Promise<void> => {
    while (!end.signal.aborted) {
      await runUntilPause();
      await instance.signal('SIGSTOP');
      await delay(PAUSE_MILLISECONDS);
      await instance.signal('SIGCONT');
    }
  };
  try {
    const sent: Promise<CallerRecord | undefined>[] = [];
    const beganAt = performance.now();
    await instance.signal('SIGSTOP');
    let throttled: Promise<void> | undefined;
    let resumedAt = Infinity;
    while (performance.now() - beganAt < FIRST_PAUSE_MILLISECONDS + OVERLOAD_MILLISECONDS) {
      const elapsed = performance.now() - beganAt;
      if (!throttled && elapsed >= FIRST_PAUSE_MILLISECONDS) {
        await instance.signal('SIGCONT');
        resumedAt = performance.now();
        throttled = throttle();
      }
      const due = (elapsed * REQUESTS_PER_SECOND) / MILLISECONDS_PER_SECOND;
      while (sent.length < due) sent.push(send(`overload-${sent.length}`));
      await delay(TICK_MILLISECONDS);
    }
    end.abort();
    await throttled;
    const records = await Promise.all(sent);
    return { records: records.flatMap((record) => record ?? []), runs, resumedAt };
  } finally {
    end.abort();
    await fleet.stop();
    await rm(folder, { recursive: true });
  }
};
