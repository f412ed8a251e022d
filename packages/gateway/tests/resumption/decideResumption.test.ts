import type { ResumptionSituation } from '../../src/resumption/decideResumption';
import { decideResumption } from '../../src/resumption/decideResumption';

const SITUATION: ResumptionSituation = {
  service: 's',
  allowedServices: ['s', 't'],
  origin: undefined,
  possibleVersions: ['v1'],
};

const decide = (change: Partial<ResumptionSituation>) =>
  decideResumption({ ...SITUATION, ...change });

test('a stream goes on at the version that is recorded for it', () => {
  const origin = { service: 's', version: 'v1' };
  expect(decide({ origin, possibleVersions: ['v1', 'v2'] })).toEqual({
    kind: 'resumed',
    origin,
    evidence: 'recorded',
  });
});

test('a stream goes on at the service that began it', () => {
  const origin = { service: 't', version: 'v1' };
  expect(decide({ origin })).toMatchObject({ kind: 'resumed', origin });
});

test('a stream of unknown version goes on where only one can have begun it', () => {
  expect(decide({})).toMatchObject({
    kind: 'resumed',
    origin: { service: 's', version: 'v1' },
    evidence: 'only-version',
  });
});

// Instances that had just started joined streams to the only version that they saw.
test.each([
  ['unobserved', { possibleVersions: undefined }],
  ['several-versions', { possibleVersions: ['v1', 'v2'] }],
  ['several-versions', { possibleVersions: ['v1', undefined] }],
  ['several-versions', { possibleVersions: ['v1', 'v2', 'v3'] }],
  ['no-version', { possibleVersions: [undefined] }],
  ['no-version', { possibleVersions: [] }],
  ['no-version', { origin: { service: 's', version: undefined } }],
  ['other-service', { origin: { service: 'gone', version: 'v1' } }],
] as const)('a stream is not resumed: %s, %j', (reason, change) => {
  expect(decide(change)).toEqual({ kind: 'refused', reason });
});
