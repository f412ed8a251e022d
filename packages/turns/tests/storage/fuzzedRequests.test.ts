import { request as sendRequest } from 'node:http';
import { create, toBinary } from '@bufbuild/protobuf';
import {
  ReadChainRequestSchema,
  ReadTurnsRequestSchema,
  StoreTurnsRequestSchema,
} from '@limpetnotch/peer-protocol';
import fc from 'fast-check';
import { createTurn } from '../support/createTurn';
import { StorageFleet } from '../support/storageFleet';

jest.setTimeout(60_000);

const SERVICE = '/limpetnotch.turns.v1.TurnService';

let fleet: StorageFleet;

interface SentRequest {
  readonly path: string;
  readonly body: Uint8Array;
  readonly headers?: Readonly<Record<string, string | number>>;
}

/** Sends a request; resolves to the status, or to 0 if the connection was closed. */
const send = ({ path, body, headers = {} }: SentRequest): Promise<number> =>
  new Promise((resolve) => {
    const outgoing = sendRequest({
      host: '127.0.0.1',
      port: fleet.get('s-1').port,
      method: 'POST',
      path,
      headers: {
        'content-type': 'application/proto',
        'content-length': body.length,
        ...headers,
      },
    });
    outgoing.on('error', () => resolve(0));
    outgoing.on('response', (response) => {
      response.resume();
      response.on('close', () => resolve(response.statusCode ?? 0));
    });
    outgoing.end(body);
  });

/** Fails unless the instance still stores and returns a turn. */
const checkServing = async (): Promise<void> => {
  const turn = createTurn('known');
  await fleet.storeOn(['s-1'], [turn]);
  expect(await fleet.findCopies(turn, ['s-1'])).toEqual(['s-1']);
};

beforeAll(async () => {
  fleet = new StorageFleet({ toleratedLosses: { instances: 0, availabilityZones: 0 } });
  await fleet.start(['s-1']);
});

afterAll(() => fleet.close());

test('any bytes get an answer from each method, and the instance goes on', async () => {
  const methods = fc.constantFrom('StoreTurns', 'ReadChain', 'ListTurns', 'ReadTurns', 'Other');
  const property = fc.asyncProperty(
    methods,
    fc.uint8Array({ maxLength: 300 }),
    async (name, body) => {
      expect(await send({ path: `${SERVICE}/${name}`, body })).toBeGreaterThanOrEqual(200);
    },
  );
  await fc.assert(property, { numRuns: 400, seed: 20_261_206 });
  await checkServing();
});

test('a changed byte in a valid request is answered', async () => {
  const valid = [
    [
      'StoreTurns',
      toBinary(
        StoreTurnsRequestSchema,
        create(StoreTurnsRequestSchema, { turns: [createTurn('1')] }),
      ),
    ],
    [
      'ReadChain',
      toBinary(
        ReadChainRequestSchema,
        create(ReadChainRequestSchema, { organisation: 'north', id: '1' }),
      ),
    ],
    [
      'ReadTurns',
      toBinary(
        ReadTurnsRequestSchema,
        create(ReadTurnsRequestSchema, { keys: [{ organisation: 'north', id: '1' }] }),
      ),
    ],
  ] as const;
  const change = fc.tuple(fc.constantFrom(...valid), fc.nat(), fc.nat({ max: 255 }));
  const property = fc.asyncProperty(change, async ([[name, bytes], at, value]) => {
    const body = Uint8Array.from(bytes);
    body[at % body.length] = value;
    expect(await send({ path: `${SERVICE}/${name}`, body })).toBeGreaterThanOrEqual(200);
  });
  await fc.assert(property, { numRuns: 300, seed: 20_261_207 });
  await checkServing();
});

test.each([
  ['without an organisation', { organisation: '' }],
  ['without an id', { id: '' }],
  ['with a very long name', { program: 'x'.repeat(10_000) }],
  ['that never expires', { expiresAtMilliseconds: Infinity }],
  ['that expires at no time', { expiresAtMilliseconds: NaN }],
  ['that expires before all times', { expiresAtMilliseconds: -1 }],
  ['that expires in a century', { expiresAtMilliseconds: Date.now() + 3e12 }],
])('a turn %s is refused', async (_title, change) => {
  const stored = fleet.client('s-1').storeTurns({ turns: [createTurn('bad', change)] });
  await expect(stored).rejects.toThrow('malformed');
});

test('turns whose organisation and id could be confused are kept apart', async () => {
  await fleet.storeOn(['s-1'], [createTurn('b\nc', { organisation: 'a' })]);
  const { turns } = await fleet.client('s-1').readChain({ organisation: 'a\nb', id: 'c' });
  expect(turns).toEqual([]);
});

test('a body that is too large, or of unknown length, is refused', async () => {
  const path = `${SERVICE}/StoreTurns`;
  const body = new Uint8Array(0);
  expect(await send({ path, body, headers: { 'content-length': 9_000_000 } })).toBe(413);
  expect(
    await send({ path, body, headers: { 'transfer-encoding': 'chunked', 'content-length': '' } }),
  ).not.toBe(200);
  await checkServing();
});

test('a cursor of another process, or without a meaning, lists from the start', async () => {
  await checkServing();
  for (const cursor of ['other:5', 'x', ':', ':NaN']) {
    const { keys } = await fleet.client('s-1').listTurns({ cursor });
    expect(keys.map(({ id }) => id)).toContain('known');
  }
});

test('a turn of 4 MB is stored and read', async () => {
  const input = Buffer.alloc(4 * 1024 * 1024, 7);
  await fleet.storeOn(['s-1'], [createTurn('large', { input })]);
  const { turns } = await fleet.client('s-1').readChain({ organisation: 'north', id: 'large' });
  expect(Buffer.compare(turns[0]!.input, input)).toBe(0);
});

test('a chain that exceeds one response is continued by another read', async () => {
  const input = Buffer.alloc(1_500_000, 7);
  for (const id of ['c-1', 'c-2', 'c-3', 'c-4']) {
    const parentId = id === 'c-1' ? '' : `c-${Number(id.slice(2)) - 1}`;
    await fleet.storeOn(['s-1'], [createTurn(id, { input, parentId })]);
  }
  const client = fleet.client('s-1');
  const first = await client.readChain({ organisation: 'north', id: 'c-4' });
  expect(first.turns.map(({ id }) => id)).toEqual(['c-4', 'c-3']);
  const second = await client.readChain({ organisation: 'north', id: 'c-2' });
  expect(second.turns.map(({ id }) => id)).toEqual(['c-2', 'c-1']);
});
