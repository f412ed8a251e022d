import type { ConfigurationFigures } from '../src/configuration/configurationFigures';
import { configurationSlopes } from '../src/configuration/configurationSlopes';

const figuresAt = (keys: number): ConfigurationFigures => ({
  organisations: keys / 4,
  keys,
  checkMilliseconds: 10 + keys / 100,
  encodeMilliseconds: 5,
  storedValues: 1,
  storedBytes: keys * 250,
  largestValueBytes: 60_000,
  firstPublishMilliseconds: 1,
  firstLoadMilliseconds: 1,
  followerHeapBytes: 1,
  changePublishMilliseconds: 1,
  changedValues: 2,
  forceMilliseconds: 1,
  silentForceMilliseconds: 1,
  stallMilliseconds: 1,
});

test('fits the growth for each 1,000 keys', () => {
  const slopes = configurationSlopes([1_000, 5_000, 50_000].map(figuresAt));
  expect(slopes.checkMilliseconds).toBeCloseTo(10);
  expect(slopes.storedBytes).toBeCloseTo(250_000);
  expect(slopes.encodeMilliseconds).toBeCloseTo(0);
  expect(configurationSlopes([figuresAt(8)])).toEqual({});
});
