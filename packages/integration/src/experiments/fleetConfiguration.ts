import type { Configuration } from '@limpetnotch/declarations';
import { ENGINE } from './engineModel';
import type { UserProfile } from './userProfile';

export const MODEL = 'model-1';
export const ROUTE = 'chat';

const AVAILABILITY_ZONES = ['zone-a', 'zone-b', 'zone-c'];
const FIRST_PORT = 9_001;
const MAXIMUM_QUEUED_CALLS = 256;
const DEADLINE_SECONDS = 3_600;

/** Returns the availability zone of an instance or engine by its index. */
export const getAvailabilityZone = (position: number): string =>
  AVAILABILITY_ZONES[position % AVAILABILITY_ZONES.length] ?? 'zone-a';

/** Returns the names of a user's engines. */
export const engineNames = ({ engines }: UserProfile): readonly string[] =>
  Array.from({ length: engines }, (_, index) => `engine-${index + 1}`);

/** Returns the configuration of a user's fleet, in which all engines run the same model. */
export const fleetConfiguration = (profile: UserProfile): Configuration => {
  const engines = engineNames(profile);
  return {
    revision: 1,
    organisations: new Map(
      profile.organisations.map(({ name, weight }) => [
        name,
        {
          weight,
          rate: { requestsPerSecond: 1_000, burst: 1_000 },
          maximumQueuedCalls: MAXIMUM_QUEUED_CALLS,
        },
      ]),
    ),
    keys: new Map(),
    budgets: new Map(),
    routes: new Map([
      [
        ROUTE,
        {
          path: '/v1/chat/completions',
          methods: ['POST'],
          service: { kind: 'model', models: [MODEL] },
          targets: [...engines],
          access: { kind: 'keyed' },
          idempotent: true,
          deadlineSeconds: DEADLINE_SECONDS,
          progressDeadlineSeconds: 60,
          retryRatio: 0.2,
          spendMicrosPerCall: 0,
        },
      ],
    ]),
    targets: new Map(
      engines.map((name, index) => [
        name,
        {
          address: `http://127.0.0.1:${FIRST_PORT + index}`,
          availabilityZone: getAvailabilityZone(index),
          backend: { kind: 'engine', models: [MODEL], fencing: 'obeyed', resumable: false },
          window: ENGINE.maximumBatch,
          state: 'serving',
        },
      ]),
    ),
  };
};
