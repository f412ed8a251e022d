/* eslint n/no-sync: "off", no-await-in-loop: "off", no-restricted-syntax: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", class-methods-use-this: "off" --
   as for the TypeScript sources; scripts run once, and modules of the runtime need extensions */
import { createHash } from 'node:crypto';
import { writeFileSync } from 'node:fs';
import { Agent } from 'node:http';
import { fileURLToPath } from 'node:url';
import { Deployment, HOST_NAME } from '../lib-3/deployment.mjs';
import { delay, send } from '../lib-3/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ATTEMPTS = 3;
const TURNS = HAS_TROUBLE ? 1_010 : 900;

const lines = [];
const startedAt = Date.now();
const record = (text) => lines.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`);

const deployment = new Deployment();

const turn = (entry, { id, previous, input, agent }) =>
  send({
    host: entry.host,
    method: 'POST',
    path: '/talk/1x0',
    headers: {
      host: HOST_NAME,
      'request-id': id,
      'deadline-milliseconds': '4000',
      authorization: 'Token key-one',
      'program-id': 'survey',
      'session-id': 'survey',
      'finish-milliseconds': '100000',
      'token-counts': '400,9',
      ...(previous && { 'previous-turn': previous }),
    },
    body: input,
    agent,
  });

/** Output of a turn as targets get it later: the data of each event and a line feed. */
const outputOf = (body) =>
  body
    .split('\n')
    .filter((line) => line.startsWith('data: '))
    .map((line) => `${line.slice('data: '.length)}\n`)
    .join('');

const start = async () => {
  deployment.configure({
    routes: [
      {
        name: 'talk',
        kind: 'stream',
        service: 'engines',
        retainContext: true,
        stickySessions: true,
      },
    ],
    services: [
      { name: 'engines', engine: { slots: 16, kvCacheTokens: 123_411, tokensPerEvent: 9 } },
    ],
    tenants: [{ name: 'one', apiKeys: ['key-one'], priority: 1, ratePerS: 0, burst: 0 }],
  });
  await deployment.addRunner({
    id: 'runner-1',
    service: 'engines',
    zone: 'zone-a',
    slots: 16,
    isStreaming: true,
  });
  const entries = await Promise.all(
    ['zone-a', 'zone-b'].map((zone, index) =>
      deployment.createProcess({ name: `frontend-${index + 1}`, role: 'entry', zone }),
    ),
  );
  const storages = await Promise.all(
    ['zone-a', 'zone-b', 'zone-c'].map((zone, index) =>
      deployment.createProcess({
        name: `storage-${index + 1}`,
        role: 'storage',
        zone,
        memoryMb: 210,
      }),
    ),
  );
  const isReady = await deployment.start([...entries, ...storages], true);
  return isReady ? entries : undefined;
};

const main = async () => {
  const entries = await start();
  if (!entries) {
    record('an entry did not become ready');
    return 2;
  }
  await delay(8_000);
  const agent = new Agent({ keepAlive: true });
  const expected = new Map();
  const wrong = [];
  let chain = '';
  let previous;
  let whole = 0;
  for (let number = 1; number <= TURNS; number += 1) {
    const input = `input ${number};`;
    const body = chain + input;
    const digest = createHash('sha256').update(body).digest('hex');
    let answer = {};
    let id = '';
    for (let attempt = 1; attempt <= ATTEMPTS && !answer.isWhole; attempt += 1) {
      const entry = entries[(attempt - 1) % entries.length];
      id = `turn${number}attempt${attempt}`;
      expected.set(id, { bytes: body.length, digest });
      const { status, isWhole, ...rest } = await turn(entry, { id, previous, input, agent });
      answer = { ...rest, isWhole: status === 200 && isWhole };
      if (!answer.isWhole) {
        record(`${id} at ${entry.name}: ${status} ${rest.detail ?? rest.body}`);
        await delay(400);
      }
    }
    if (!answer.isWhole) break;
    whole += 1;
    chain = body + outputOf(answer.body);
    previous = id;
  }
  agent.destroy();
  deployment.runners.forEach(({ runs }) =>
    runs.forEach(({ id, bytes, digest }) => {
      if (expected.get(id)?.digest !== digest) {
        wrong.push(`${id}: ran with ${bytes} bytes instead of ${expected.get(id)?.bytes}`);
      }
    }),
  );
  record(`${whole} of ${TURNS} turns were answered whole`);
  record(`UNASKED: ${wrong.length} turns ran with another body than the chain and the input`);
  wrong.forEach((text) => record(`  ${text}`));
  if (whole < 800) return 2;
  return wrong.length > 0 ? 1 : 0;
};

try {
  process.exitCode = await main();
} catch (error) {
  record(String(error.stack));
  process.exitCode = 2;
} finally {
  await deployment.close();
  writeFileSync(fileURLToPath(new URL('record.txt', import.meta.url)), `${lines.join('\n')}\n`);
}
