import { once } from 'node:events';
import { createServer, request as httpRequest } from 'node:http';
import type { Server } from 'node:http';
import { readBody } from '../../src/calls/readBody';
import { requestDigest } from '../../src/quarantine/requestDigest';

const PART = Buffer.alloc(70_000, 'x');
const PART_COUNT = 3;

let server: Server;
let digests: string[];

beforeEach(async () => {
  digests = [];
  server = createServer((request, response) => {
    void readBody(request, Infinity).then((body) => {
      const content = { organisation: 'north', method: 'POST', host: 'h', pathAndQuery: '/' };
      digests.push(requestDigest({ ...content, body: body._unsafeUnwrap() }));
      response.end();
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

const send = async (headers: Record<string, string>): Promise<void> => {
  const address = server.address();
  const port = typeof address === 'object' && address ? address.port : 0;
  const sent = httpRequest({ host: '127.0.0.1', port, method: 'POST', headers });
  for (let part = 0; part < PART_COUNT; part += 1) sent.write(PART);
  sent.end();
  const [response] = await once(sent, 'response');
  response.resume();
};

test('a chunked body has the same digest as one with a length', async () => {
  await send({ 'content-length': String(PART_COUNT * PART.length) });
  await send({ 'transfer-encoding': 'chunked' });
  expect(digests).toHaveLength(2);
  expect(digests[0]).toBe(digests[1]);
});
