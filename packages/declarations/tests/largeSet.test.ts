import {
  checkConfiguration,
  decodeConfiguration,
  encodeConfiguration,
  createSampleConfiguration,
} from '../src';
import type { Configuration, ConfigurationRoot } from '../src';

const ORGANISATION_COUNT = 16_000;
const KEY_COUNT = 50_000;
const MAXIMUM_VALUE_BYTES = 1_000_000;
/** The chunk and the index; one or two more where a chunk is split or merged. */
const MAXIMUM_CHANGED_VALUES = 4;

const createRoot = (index: string): ConfigurationRoot => ({
  formatVersion: 1,
  revision: 1,
  publishId: 'publish',
  author: 'rana',
  publishedAt: '2026-12-04T00:00:00.000Z',
  collections: 0,
  index,
});

const withdrawOne = (configuration: Configuration): Configuration => {
  const [name, spec] = [...configuration.keys][KEY_COUNT / 2]!;
  const keys = new Map([...configuration.keys, [name, { ...spec, state: 'withdrawn' as const }]]);
  return { ...configuration, keys };
};

test('a set of the planned size has small values, and a withdrawal changes few of them', () => {
  const configuration = createSampleConfiguration(ORGANISATION_COUNT, KEY_COUNT);
  expect(checkConfiguration(configuration)).toEqual([]);
  const encoded = encodeConfiguration(configuration)._unsafeUnwrap();
  const sizes = [...encoded.values.values()].map((value) => Buffer.byteLength(value));
  expect(Math.max(...sizes)).toBeLessThan(MAXIMUM_VALUE_BYTES);
  const decoded = decodeConfiguration(createRoot(encoded.index), encoded.values)._unsafeUnwrap();
  expect(decoded.organisations).toEqual(configuration.organisations);
  expect(decoded.keys).toEqual(configuration.keys);
  const changed = encodeConfiguration(withdrawOne(configuration))._unsafeUnwrap();
  const newDigests = [...changed.values.keys()].filter((digest) => !encoded.values.has(digest));
  expect(newDigests.length).toBeLessThanOrEqual(MAXIMUM_CHANGED_VALUES);
}, 60_000);

test('rejects an object that exceeds the maximum size of a value', () => {
  const configuration = createSampleConfiguration(1, 1);
  const route = configuration.routes.get('chat')!;
  const targets = Array.from({ length: 60_000 }, (_item, index) => `engine-${index}`);
  const routes = new Map([['chat', { ...route, targets }]]);
  expect(encodeConfiguration({ ...configuration, routes })._unsafeUnwrapErr()).toMatchObject({
    kind: 'too-large',
    value: 'route/chat',
  });
});
