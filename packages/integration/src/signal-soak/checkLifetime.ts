import type { CheckContext } from './checkContext';
import type { Lifetime } from './lifetime';
import type { Violation } from './violation';

/** Two readiness probes without a 200 take an instance out of rotation within this time. */
const READY_AFTER_STOP_MILLISECONDS = 4_000;

/** With more lag than this the processors are overloaded, and measured times mean nothing. */
const STARVATION_LAG_MILLISECONDS = 200;

const checkEnd = (lifetime: Lifetime): string | undefined => {
  if (lifetime.wasKilled || lifetime.end === undefined) return undefined;
  if (typeof lifetime.end === 'string') return `ended by ${lifetime.end}`;
  if (lifetime.end !== 0) return `ended with code ${lifetime.end}`;
  return lifetime.stoppedAt === undefined ? 'ended without being told to' : undefined;
};

const checkReadiness = ({ stoppedAt, lastReadyAt, wasPaused }: Lifetime): string | undefined => {
  if (stoppedAt === undefined || lastReadyAt === undefined || wasPaused) return undefined;
  const readyMilliseconds = lastReadyAt - stoppedAt;
  if (readyMilliseconds <= READY_AFTER_STOP_MILLISECONDS) return undefined;
  return `still ready ${Math.round(readyMilliseconds)} ms after it was told to stop`;
};

/** Checks how a process ended, and its readiness after a stop. */
export const checkLifetime = (
  lifetime: Lifetime,
  { graceMilliseconds, lagWithin }: CheckContext,
): readonly Violation[] => {
  const { stoppedAt = Infinity } = lifetime;
  const isStarved =
    lagWithin(stoppedAt, stoppedAt + graceMilliseconds) > STARVATION_LAG_MILLISECONDS;
  const found = {
    exit: checkEnd(lifetime),
    grace:
      lifetime.hasOverrun && !isStarved ? 'still there when its grace period was over' : undefined,
    readiness: isStarved ? undefined : checkReadiness(lifetime),
  };
  const moment = lifetime.endedAt ?? performance.now();
  const age = Math.round(moment - lifetime.spawnedAt);
  const signals = lifetime.describeSignals(moment);
  return Object.entries(found).flatMap(([check, text]) =>
    text === undefined
      ? []
      : [{ check, lifetime: lifetime.name, text: `${text}, ${age} ms old; ${signals}` }],
  );
};
