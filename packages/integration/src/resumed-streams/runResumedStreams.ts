import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { delay } from '@limpetnotch/supervision';
import { SoakFleet } from '../signal-soak/soakFleet';
import type { ResumedStream } from './resumingCaller';
import { receiveStream } from './resumingCaller';

const INSTANCES = 4;
const GRACE_SECONDS = 5;
/** New instances learn of each other within this time. */
const JOIN_MILLISECONDS = 3_000;
const ROUTE = 'stream-twice';
const WORK = '14x60';
/** All streams have begun, and none has ended. */
const FAULT_AT_MILLISECONDS = 450;
/** Longer than any resumption takes. */
const ENGINE_AWAY_MILLISECONDS = 8_000;
/** Index of the first engine; plain targets precede it. */
const FIRST_ENGINE = 4;

/** What ends the instances' memory while streams are under way. */
export type ResumedStreamsFault =
  /** The instances of these indices are killed, and the first half of the engines crashes. */
  | { readonly kind: 'instances-killed'; readonly instances: readonly number[] }
  /** All instances are killed after the first version has left. */
  | { readonly kind: 'all-killed-after-release' };

/** Options of {@link runResumedStreams}. */
export interface ResumedStreamsOptions {
  readonly streams: number;
  /** Software versions of the four engines, repeated. */
  readonly versions: readonly string[];
  readonly fault: ResumedStreamsFault;
  /** Script of the entry program. */
  readonly program: string;
}

const killInstances = async (fleet: SoakFleet, instances: readonly number[]): Promise<void> => {
  await Promise.all(
    instances.map((instance) => fleet.apply({ kind: 'signal', instance, signal: 'SIGKILL' })),
  );
};

const applyFault = async (fleet: SoakFleet, fault: ResumedStreamsFault): Promise<void> => {
  const engines = fleet.targets.slice(FIRST_ENGINE);
  switch (fault.kind) {
    case 'instances-killed':
      await killInstances(fleet, fault.instances);
      // Placement would send the resumed streams to the engine that began them.
      engines.slice(0, engines.length / 2).forEach((engine) => {
        void engine.crash(ENGINE_AWAY_MILLISECONDS, false);
      });
      return;
    case 'all-killed-after-release':
      engines.forEach((engine) => {
        Object.assign(engine, { version: 'released' });
        void engine.crash(0, false);
      });
      await killInstances(
        fleet,
        fleet.instances.map((_, index) => index),
      );
  }
};

/**
 * Runs instance processes at which streams begin, breaks them off, and has their callers resume them
 * at other instances.
 */
export const runResumedStreams = async (
  options: ResumedStreamsOptions,
): Promise<readonly ResumedStream[]> => {
  const folder = await mkdtemp(join(tmpdir(), 'limpetnotch-resumed-'));
  const fleet = await SoakFleet.start({
    instances: INSTANCES,
    graceSeconds: GRACE_SECONDS,
    program: options.program,
    folder,
    versions: options.versions,
    record: () => undefined,
  });
  try {
    await delay(JOIN_MILLISECONDS);
    const hosts = fleet.instances.map(({ host }) => host);
    const streams = Array.from({ length: options.streams }, (_, index) =>
      receiveStream({
        id: `stream${index}`,
        host: fleet.access.host,
        key: fleet.access.keys[1] ?? '',
        route: ROUTE,
        work: WORK,
        firstHost: hosts[0] ?? '',
        laterHosts: hosts.slice(1),
      }),
    );
    await delay(FAULT_AT_MILLISECONDS);
    await applyFault(fleet, options.fault);
    return await Promise.all(streams);
  } finally {
    await fleet.stop();
    await rm(folder, { recursive: true });
  }
};
