import * as fc from 'fast-check';
import {
  buildConfiguration,
  decodeConfiguration,
  digestOf,
  encodeConfiguration,
  sampleConfiguration,
} from '../src';
import type { Configuration, ConfigurationRoot } from '../src';
import { decodeChunk, decodeIndex } from '../src/format/decodeConfiguration';
import type { AssembledConfiguration } from '../src/format/reassembleConfiguration';
import { reassembleConfiguration } from '../src/format/reassembleConfiguration';
import { exampleSet } from './exampleSet';

const rootOf = (index: string): ConfigurationRoot => ({
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

/** Encodes the example with a changed index. */
const withIndex = (change: (index: IndexValue) => IndexValue): [string, Map<string, string>] => {
  const encoded = encodeConfiguration(exampleSet())._unsafeUnwrap();
  const index = JSON.parse(encoded.values.get(encoded.index)!) as IndexValue;
  const value = JSON.stringify(change(index));
  return [digestOf(value), new Map([...encoded.values, [digestOf(value), value]])];
};

test('decodes what was encoded, with the revision of the root', () => {
  const { index, values } = encodeConfiguration(exampleSet())._unsafeUnwrap();
  const decoded = decodeConfiguration(rootOf(index), values);
  expect(decoded._unsafeUnwrap()).toEqual({ ...exampleSet(), revision: 3 });
});

test('refuses a name that stands in two chunks', () => {
  const [index, values] = withIndex(({ chunks, ...rest }) => ({
    ...rest,
    chunks: [...chunks, ...chunks.slice(0, 1)],
  }));
  expect(decodeConfiguration(rootOf(index), values)._unsafeUnwrapErr()).toEqual({
    kind: 'corrupt',
    value: 'configuration 3',
    detail: 'a name stands in it twice',
  });
});

test('says which version a newer format needs', () => {
  const [index, values] = withIndex((value) => ({ ...value, formatVersion: 2 }));
  expect(decodeConfiguration(rootOf(index), values)._unsafeUnwrapErr()).toEqual({
    kind: 'newer-format',
    value: `index ${index}`,
    found: 2,
    supported: 1,
  });
});

const SEED = 20261206;

const chunksOf = (configuration: Configuration): AssembledConfiguration['chunks'] => {
  const { index, values } = encodeConfiguration(configuration)._unsafeUnwrap();
  const { chunks } = decodeIndex(index, values.get(index)!)._unsafeUnwrap();
  return new Map(
    chunks.map(({ digest }) => [digest, decodeChunk(digest, values.get(digest)!)._unsafeUnwrap()]),
  );
};

test('a set made from the one before equals the set made from all its chunks', () => {
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
      const expected = { ...sampleConfiguration(organisations, keys), revision: position + 1 };
      const chunks = chunksOf(expected);
      const configuration = reassembleConfiguration(position + 1, chunks, before)._unsafeUnwrap();
      expect(configuration).toEqual(expected);
      before = { configuration, chunks };
    });
  });
  fc.assert(property, { seed: SEED, numRuns: 15, endOnFailure: true });
});

test('refuses a name that an unchanged chunk has already', () => {
  const configuration = exampleSet();
  const chunks = chunksOf(configuration);
  const [chunk] = [...chunks.values()];
  const twice = new Map([...chunks, ['other', chunk!]]);
  const result = reassembleConfiguration(2, twice, { configuration, chunks });
  expect(result._unsafeUnwrapErr()).toMatchObject({ kind: 'corrupt' });
});
