import { CarriedRequests } from '../../src/targets/carriedRequests';

test('the last 64 requests of a connection are known', () => {
  const carried = new CarriedRequests();
  for (let idHash = 0; idHash < 200; idHash += 1) carried.add(idHash);
  expect([135, 136, 199, 200].map((idHash) => carried.mayInclude(idHash))).toEqual([
    false,
    true,
    true,
    false,
  ]);
});
