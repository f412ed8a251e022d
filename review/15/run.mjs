/* eslint n/no-sync: "off", no-await-in-loop: "off", no-restricted-syntax: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", class-methods-use-this: "off" --
   as for the TypeScript sources; scripts run once, and modules of the runtime need extensions */
import { writeFileSync } from 'node:fs';
import { request as sendRequest } from 'node:http';
import { fileURLToPath } from 'node:url';
import { Deployment, HOST_NAME } from '../lib-3/deployment.mjs';
import { delay } from '../lib-3/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ENTRIES = 10;
const STREAMS_PER_ENTRY = 4;
const EVENTS = 30;
const DEADLINE_MILLISECONDS = 4_000;

const lines = [];
const startedAt = Date.now();
const record = (text) => lines.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`);

const deployment = new Deployment();
let sequence = 0;

/** Sends a request for a stream; resolves once it has ended, however it does. */
const stream = (entry, { lastEventId, resumes, milliseconds = DEADLINE_MILLISECONDS, onEvent }) =>
  new Promise((done) => {
    sequence += 1;
    const id = `attempt${sequence}`;
    const events = [];
    let status = 0;
    const finish = (isWhole) => done({ id, status, events, isWhole });
    const outgoing = sendRequest({
      host: entry.host,
      port: 8368,
      method: 'POST',
      path: `/talk/${EVENTS}x100`,
      agent: false,
      headers: {
        host: HOST_NAME,
        'request-id': id,
        'deadline-milliseconds': String(Math.round(milliseconds)),
        authorization: 'Token key-one',
        'content-length': '5',
        ...(lastEventId && { 'last-event-id': lastEventId, resumes }),
      },
    });
    outgoing.once('error', () => finish(false));
    outgoing.once('response', (response) => {
      status = response.statusCode;
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk) => {
        text += chunk;
        const ids = [...text.matchAll(/id: (\d+)\ndata: [^\n]*\n\n/g)].map((match) => match[1]);
        events.splice(0, events.length, ...ids);
        onEvent?.();
      });
      response.on('error', () => undefined);
      response.once('close', () => finish(response.complete));
    });
    outgoing.end('input');
  });

/** A caller that takes its stream up at another entry when it breaks off. */
const call = async (entry, other) => {
  const began = Date.now();
  const first = await stream(entry, {});
  if (first.isWhole) return { kind: 'whole' };
  const lastEventId = first.events.at(-1);
  if (lastEventId === undefined) return { kind: 'no event' };
  const milliseconds = DEADLINE_MILLISECONDS - (Date.now() - began);
  const second = await stream(other, { lastEventId, resumes: first.id, milliseconds });
  record(
    `${first.id} broke off at ${entry.name} after event ${lastEventId}; taken up at ${other.name}: ${second.status}, events ${second.events[0] ?? '-'} to ${second.events.at(-1) ?? '-'}`,
  );
  return { kind: second.events.length > 0 ? 'gone on' : 'not gone on' };
};

const main = async () => {
  deployment.configure({
    routes: [
      { name: 'talk', kind: 'stream', service: 'engines', allowResume: true, stickySessions: true },
    ],
    services: [
      { name: 'engines', engine: { slots: 16, kvCacheTokens: 123_411, tokensPerEvent: 9 } },
    ],
    tenants: [{ name: 'one', apiKeys: ['key-one'], priority: 1, ratePerS: 0, burst: 0 }],
  });
  await Promise.all(
    ['v1', 'v2', 'v1', 'v2', 'v1', 'v2'].map((version, index) =>
      deployment.addRunner({
        id: `runner-${index}`,
        service: 'engines',
        zone: ['zone-a', 'zone-b', 'zone-c'][index % 3],
        version,
        slots: 16,
        queue: 48,
        isStreaming: true,
      }),
    ),
  );
  const entries = await Promise.all(
    Array.from({ length: ENTRIES }, (_, index) =>
      deployment.createProcess({
        name: `frontend-${index}`,
        role: 'entry',
        zone: ['zone-a', 'zone-b', 'zone-c'][index % 3],
      }),
    ),
  );
  if (!(await deployment.start(entries, true))) return 2;
  await delay(8_000);
  const [survivor, ...others] = entries;
  const calls = others.flatMap((entry) =>
    Array.from({ length: STREAMS_PER_ENTRY }, () => call(entry, survivor)),
  );
  await delay(1_000);
  if (HAS_TROUBLE) {
    record(`${others.length} of ${ENTRIES} entries are killed`);
    others.forEach((entry) => entry.signal('SIGKILL'));
  }
  const begun = await Promise.all(Array.from({ length: 20 }, () => stream(survivor, {})));
  const results = await Promise.all(calls);
  const counts = {};
  results.forEach(({ kind }) => {
    counts[kind] = (counts[kind] ?? 0) + 1;
  });
  record(JSON.stringify(counts));
  if (!HAS_TROUBLE) return counts.whole === results.length ? 0 : 1;
  const resumed = results.filter(({ kind }) => kind.endsWith('gone on')).length;
  const share = resumed === 0 ? 1 : (counts['gone on'] ?? 0) / resumed;
  const newShare = begun.filter(({ events }) => events.length > 0).length / begun.length;
  record(
    `LOST: ${resumed} streams were taken up, ${share.toFixed(2)} of them go on; of new streams ${newShare.toFixed(2)} begin`,
  );
  if (resumed < 12) return 2;
  return share < newShare / 2 ? 1 : 0;
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
