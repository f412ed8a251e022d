import { request } from 'undici';
import { ToolStandIn } from '../src';

let tool: ToolStandIn;

beforeEach(async () => {
  tool = new ToolStandIn();
  await tool.start();
});

afterEach(() => tool.stop());

const charge = (key: string) =>
  request(`${tool.server.address}/tools/charge`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'idempotency-key': key },
    body: JSON.stringify({ amount: 5 }),
  });

test('records each effect with its key', async () => {
  expect((await charge('k1')).statusCode).toBe(200);
  expect(tool.executions).toMatchObject([
    { execution: 1, path: '/tools/charge', idempotencyKey: 'k1', body: { amount: 5 } },
  ]);
});

test('fails before the effect', async () => {
  await tool.setFaults({ failBefore: 1 });
  expect((await charge('k1')).statusCode).toBe(503);
  expect(tool.executions).toHaveLength(0);
});

test('fails after the effect', async () => {
  await tool.setFaults({ failAfter: 1 });
  await expect(charge('k1')).rejects.toThrow();
  expect(tool.executions).toHaveLength(1);
});

test('refuses connections until the fault ends', async () => {
  await tool.setFaults({ refuse: true });
  await expect(charge('k1')).rejects.toThrow('ECONNREFUSED');
  await tool.setFaults({ refuse: false });
  expect((await charge('k1')).statusCode).toBe(200);
});

test('holds one call before and after its effect', async () => {
  const before = tool.callsBefore.hold(({ url }) => url === '/tools/charge');
  const after = tool.callsAfter.hold(() => true);
  const answer = charge('k1');
  await before.reached;
  expect(tool.executions).toHaveLength(0);
  before.release();
  await after.reached;
  expect(tool.executions).toHaveLength(1);
  after.release();
  expect((await answer).statusCode).toBe(200);
});
