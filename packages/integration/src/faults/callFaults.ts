import type { CellCall } from './faultCell';

const INSTANCE_PAUSE_MILLISECONDS = 3_000;
const STORE_OUTAGE_MILLISECONDS = 3_000;
const TARGET_OUTAGE_MILLISECONDS = 1_500;
const STORE_LATENCY_MILLISECONDS = 600;

/** Faults injected while a call is in progress. */
export const CALL_FAULTS = [
  'none',
  'owner-killed',
  'owner-paused',
  'owner-draining',
  'entry-killed',
  'entry-paused',
  'store-refused',
  'store-unavailable',
  'store-slow',
  'store-answers-lost',
  'store-silent',
  'target-crashed',
  'target-silent',
  'caller-gone',
  'key-withdrawn',
] as const;

export type CallFault = (typeof CALL_FAULTS)[number];

/** Returns how long a fault lasts before it is ended, in milliseconds. */
export const getFaultMilliseconds = (fault: CallFault): number => {
  switch (fault) {
    case 'owner-paused':
    case 'entry-paused':
      return INSTANCE_PAUSE_MILLISECONDS;
    case 'store-refused':
    case 'store-unavailable':
    case 'store-slow':
      return STORE_OUTAGE_MILLISECONDS;
    case 'target-crashed':
      return TARGET_OUTAGE_MILLISECONDS;
    case 'none':
    case 'owner-killed':
    case 'owner-draining':
    case 'entry-killed':
    case 'store-answers-lost':
    case 'store-silent':
    case 'target-silent':
    case 'caller-gone':
    case 'key-withdrawn':
      return 0;
    default:
      return fault satisfies never;
  }
};

const crashTarget = async ({ fleet, kind }: CellCall): Promise<void> => {
  if (kind === 'charge') {
    await fleet.tool.setFaults({ refuse: true });
    return;
  }
  const busy = fleet.engines.filter((engine) => engine.statistics().running > 0);
  await Promise.all(
    (busy.length > 0 ? busy : fleet.engines.slice(0, 1)).map((engine) =>
      engine.setFaults({ crashNow: true }),
    ),
  );
};

const silenceTargetConnections = ({ fleet }: CellCall): void => {
  fleet.tool.server.silenceConnections();
  fleet.engines.forEach((engine) => engine.server.silenceConnections());
};

/** Injects a fault. */
export const startFault = async (fault: CallFault, call: CellCall): Promise<void> => {
  const { fleet, owner, entry } = call;
  switch (fault) {
    case 'none':
      return;
    case 'owner-killed':
      fleet.process(owner).signal('SIGKILL');
      return;
    case 'owner-paused':
      fleet.process(owner).signal('SIGSTOP');
      return;
    case 'owner-draining':
      fleet.process(owner).signal('SIGTERM');
      return;
    case 'entry-killed':
      fleet.process(entry).signal('SIGKILL');
      return;
    case 'entry-paused':
      fleet.process(entry).signal('SIGSTOP');
      return;
    case 'store-refused':
      await fleet.store.setFaults({ outage: 'refused' });
      return;
    case 'store-unavailable':
      await fleet.store.setFaults({ outage: 'unavailable' });
      return;
    case 'store-slow':
      await fleet.store.setFaults({ latencyMilliseconds: STORE_LATENCY_MILLISECONDS });
      return;
    case 'store-answers-lost':
      await fleet.store.setFaults({ loseAnswers: 2 });
      return;
    case 'store-silent':
      await fleet.store.setFaults({ silenceConnections: true });
      return;
    case 'target-crashed':
      await crashTarget(call);
      return;
    case 'target-silent':
      silenceTargetConnections(call);
      return;
    case 'caller-gone':
      call.callerAbort.abort();
      return;
    case 'key-withdrawn':
      await fleet.withdrawKey(call.key);
      return;
    default:
      fault satisfies never;
  }
};

/** Ends a fault, so that the fleet can become healthy again. */
export const endFault = async (fault: CallFault, call: CellCall): Promise<void> => {
  const { fleet, owner, entry } = call;
  switch (fault) {
    case 'owner-killed':
    case 'owner-draining':
      await fleet.restart(owner);
      return;
    case 'owner-paused':
      fleet.process(owner).signal('SIGCONT');
      return;
    case 'entry-killed':
      await fleet.restart(entry);
      return;
    case 'entry-paused':
      fleet.process(entry).signal('SIGCONT');
      return;
    case 'store-refused':
    case 'store-unavailable':
    case 'store-slow':
    case 'store-answers-lost':
      await fleet.store.setFaults({ outage: 'none', latencyMilliseconds: 0, loseAnswers: 0 });
      return;
    case 'target-crashed':
      if (call.kind === 'charge') await fleet.tool.setFaults({ refuse: false });
      return;
    case 'none':
    case 'store-silent':
    case 'target-silent':
    case 'caller-gone':
    case 'key-withdrawn':
      return;
    default:
      fault satisfies never;
  }
};
