import * as fc from 'fast-check';
import {
  buildConfiguration,
  decodeConfiguration,
  computeDigest,
  encodeConfiguration,
  createSampleConfiguration,
} from '../src';
import type { Configuration, ConfigurationRoot } from '../src';
import { decodeChunk, decodeIndex } from '../src/format/decodeConfiguration';
import type { AssembledConfiguration } from '../src/format/reassembleConfiguration';
import { reassembleConfiguration } from '../src/format/reassembleConfiguration';
import { createExampleSet } from './createExampleSet';

const createRoot = (index: string): ConfigurationRoot => ({
  formatVersion: 1,
  revision: 3,
  publishId: 'publish',
  author: 'rana',
  publishedAt: '2026-12-04T00:00:00.000Z',
  collections: 0,
  index,
});

interface IndexValue {
  readonly formatVersion: number;
  readonly chunks: readonly object[];
}

/** Encodes the example with a modified index. */
const encodeWithIndex = (
  change: (index: IndexValue) => IndexValue,
): [string, Map<string, string>] => {
  const encoded = encodeConfiguration(createExampleSet())._unsafeUnwrap();
  const index = JSON.parse(encoded.values.get(encoded.index)!) as IndexValue;
  const value = JSON.stringify(change(index));
  return [computeDigest(value), new Map([...encoded.values, [computeDigest(value), value]])];
};

test('decodes an encoded configuration, with the revision of the root', () => {
  const { index, values } = encodeConfiguration(createExampleSet())._unsafeUnwrap();
  const decoded = decodeConfiguration(createRoot(index), values);
  expect(decoded._unsafeUnwrap()).toEqual({ ...createExampleSet(), revision: 3 });
});

test('rejects a name that two chunks contain', () => {
  const [index, values] = encodeWithIndex(({ chunks, ...rest }) => ({
    ...rest,
    chunks: [...chunks, ...chunks.slice(0, 1)],
  }));
  expect(decodeConfiguration(createRoot(index), values)._unsafeUnwrapErr()).toEqual({
    kind: 'corrupt',
    value: 'configuration 3',
    detail: 'it contains two objects with the same kind and name',
  });
});

test('reports the version of a newer format', () => {
  const [index, values] = encodeWithIndex((value) => ({ ...value, formatVersion: 2 }));
  expect(decodeConfiguration(createRoot(index), values)._unsafeUnwrapErr()).toEqual({
    kind: 'newer-format',
    value: `index ${index}`,
    found: 2,
    supported: 1,
  });
});

const SEED = 20261206;

const encodeChunks = (configuration: Configuration): AssembledConfiguration['chunks'] => {
  const { index, values } = encodeConfiguration(configuration)._unsafeUnwrap();
  const { chunks } = decodeIndex(index, values.get(index)!)._unsafeUnwrap();
  return new Map(
    chunks.map(({ digest }) => [digest, decodeChunk(digest, values.get(digest)!)._unsafeUnwrap()]),
  );
};

test('reassembly from a previous configuration equals assembly from all chunks', () => {
  const sizes = fc.record({
    organisations: fc.integer({ min: 1, max: 400 }),
    keys: fc.integer({ min: 0, max: 800 }),
  });
  const property = fc.property(fc.array(sizes, { minLength: 1, maxLength: 4 }), (sets) => {
    let before: AssembledConfiguration = {
      configuration: buildConfiguration(0, []),
      chunks: new Map(),
    };
    sets.forEach(({ organisations, keys }, position) => {
      const expected = {
        ...createSampleConfiguration(organisations, keys),
        revision: position + 1,
      };
      const chunks = encodeChunks(expected);
      const configuration = reassembleConfiguration(position + 1, chunks, before)._unsafeUnwrap();
      expect(configuration).toEqual(expected);
      before = { configuration, chunks };
    });
  });
  fc.assert(property, { seed: SEED, numRuns: 15, endOnFailure: true });
});

test('rejects a name that an unchanged chunk already contains', () => {
  const configuration = createExampleSet();
  const chunks = encodeChunks(configuration);
  const [chunk] = [...chunks.values()];
  const chunksWithDuplicate = new Map([...chunks, ['other', chunk!]]);
  const result = reassembleConfiguration(2, chunksWithDuplicate, { configuration, chunks });
  expect(result._unsafeUnwrapErr()).toMatchObject({ kind: 'corrupt' });
});
