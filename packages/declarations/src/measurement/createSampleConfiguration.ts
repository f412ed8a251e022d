import { createHash } from 'node:crypto';
import { buildConfiguration } from '../buildConfiguration';
import type { Configuration } from '../configuration';
import type { Declaration } from '../schemas/declaration';

const ENGINE_COUNT = 300;

const createOrganisation = (index: number): Declaration => ({
  kind: 'organisation',
  name: `organisation-${index}`,
  spec: {
    weight: 1 + (index % 4),
    rate: { requestsPerSecond: 5 + (index % 40), burst: 20 + (index % 80) },
    maximumQueuedCalls: 256,
    budget: 'program',
  },
});

const createKey = (index: number, organisations: number): Declaration => ({
  kind: 'key',
  name: `organisation-${index % organisations}-key-${index}`,
  spec: {
    organisation: `organisation-${index % organisations}`,
    digest: `sha256:${createHash('sha256').update(`secret-${index}`).digest('hex')}`,
    state: 'active',
  },
});

const createEngine = (index: number): Declaration => ({
  kind: 'target',
  name: `engine-${index}`,
  spec: {
    address: `http://10.0.${index >> 8}.${index & 255}:9100`,
    availabilityZone: `zone-${index % 16}`,
    backend: { kind: 'engine', models: ['survey'], fencing: 'ignored', resumable: false },
    window: 16,
    state: 'serving',
  },
});

/**
 * Creates a valid set with given numbers of organisations and keys, for benchmarks and large tests.
 */
export const createSampleConfiguration = (organisations: number, keys: number): Configuration =>
  buildConfiguration(0, [
    { kind: 'budget', name: 'program', spec: { tokens: 550_000, calls: 140 } },
    ...Array.from({ length: organisations }, (_item, index) => createOrganisation(index)),
    ...Array.from({ length: keys }, (_item, index) => createKey(index, organisations)),
    ...Array.from({ length: ENGINE_COUNT }, (_item, index) => createEngine(index)),
    {
      kind: 'route',
      name: 'chat',
      spec: {
        path: '/v1/chat/completions',
        methods: ['POST'],
        service: { kind: 'model', models: ['survey'] },
        targets: Array.from({ length: ENGINE_COUNT }, (_item, index) => `engine-${index}`),
        access: { kind: 'keyed' },
        idempotent: true,
        deadlineSeconds: 120,
        progressDeadlineSeconds: 15,
        retryRatio: 0.2,
        spendMicrosPerCall: 0,
      },
    },
  ]);
