import { decodeConfiguration, digestOf, encodeConfiguration } from '../src';
import type { ConfigurationRoot } from '../src';
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
