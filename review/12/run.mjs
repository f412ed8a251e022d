/* eslint n/no-sync: "off", no-await-in-loop: "off", no-restricted-syntax: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", class-methods-use-this: "off" --
   as for the TypeScript sources; scripts run once, and modules of the runtime need extensions */
import { writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { Deployment, HOST_NAME } from '../lib-3/deployment.mjs';
import { Link } from '../lib-3/link.mjs';
import { delay, send } from '../lib-3/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ENTRIES = 4;
const PROGRAMS = 4;
/** Values of the example on the page of the protocol. */
const BUDGET_TOKENS = 2_304;
const TURN_TOKENS = 288;
const TOKENS_PER_EVENT = 9;
const EVENTS = TURN_TOKENS / TOKENS_PER_EVENT;
const OUTAGE_MILLISECONDS = 5_500;

const lines = [];
const startedAt = Date.now();
const record = (text) => lines.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`);

const deployment = new Deployment();
const storeLinks = [];
/** Links between entries, by the names of both. */
const peerLinks = new Map();
const tokens = new Map();
let sent = 0;

/** Sends one turn; counts the tokens of the events that arrive. */
const turn = async (entry, program) => {
  sent += 1;
  const id = `turn${sent}`;
  const { status, body = '' } = await send({
    host: entry.host,
    method: 'POST',
    path: `/talk/${EVENTS}x1`,
    headers: {
      host: HOST_NAME,
      'request-id': id,
      'deadline-milliseconds': '4000',
      authorization: 'Token key-one',
      'program-id': program,
      'session-id': program,
      'finish-milliseconds': '20000',
      'token-budget': String(BUDGET_TOKENS),
      'token-counts': `400,${TURN_TOKENS}`,
    },
    body: 'whole prompt',
  });
  const events = status === 200 ? (body.match(/^data: /gm) ?? []).length : 0;
  tokens.set(program, (tokens.get(program) ?? 0) + events * TOKENS_PER_EVENT);
  record(`${program}: ${id} at ${entry.name}: ${status}, ${events * TOKENS_PER_EVENT} tokens`);
  return status;
};

/** Sends turns until one is refused. */
const useUp = async (entry, program, most) => {
  for (let number = 0; number < most; number += 1) {
    if ((await turn(entry, program)) !== 200) return;
  }
};

const start = async () => {
  deployment.configure({
    routes: [
      { name: 'talk', kind: 'stream', service: 'engines', allowResume: true, stickySessions: true },
    ],
    services: [
      {
        name: 'engines',
        engine: { slots: 16, kvCacheTokens: 123_411, tokensPerEvent: TOKENS_PER_EVENT },
      },
    ],
    tenants: [{ name: 'one', apiKeys: ['key-one'], priority: 1, ratePerS: 0, burst: 0 }],
  });
  const zones = ['zone-a', 'zone-b', 'zone-c'];
  for (const zone of zones) {
    await deployment.addRunner({
      id: `runner-${zone}`,
      service: 'engines',
      zone,
      slots: 16,
      isStreaming: true,
    });
  }
  const entries = [];
  const views = [];
  for (let index = 0; index < ENTRIES; index += 1) {
    const port = await deployment.store.open((address) => views[index]?.(address) ?? address);
    const link = new Link(`127.0.0.1:${port}`);
    await link.open();
    storeLinks.push(link);
    entries.push(
      await deployment.createProcess({
        name: `frontend-${index + 1}`,
        role: 'entry',
        zone: zones[index % zones.length],
        storePort: Number(link.address.split(':')[1]),
      }),
    );
  }
  for (const one of entries) {
    for (const other of entries.filter(({ name }) => name !== one.name)) {
      const link = new Link(`${other.host}:7780`);
      await link.open();
      peerLinks.set(`${one.name} ${other.name}`, link);
    }
  }
  entries.forEach((one, index) => {
    views[index] = (address) => {
      const other = entries.find(({ host }) => address === `${host}:7780`);
      return other && peerLinks.get(`${one.name} ${other.name}`)?.address;
    };
  });
  [...storeLinks, ...peerLinks.values()].forEach((link) => deployment.closeLater(link));
  return (await deployment.start(entries, true)) ? entries : undefined;
};

const main = async () => {
  const entries = await start();
  if (!entries) {
    record('an entry did not become ready');
    return 2;
  }
  await delay(5_000);
  const [first, , , last] = entries;
  const lastLinks = [...peerLinks].filter(([names]) => names.includes(last.name));
  if (HAS_TROUBLE) {
    record('the store is down');
    await Promise.all(storeLinks.map((link) => link.cut()));
    record(`${last.name} is partitioned from the other entries`);
    await Promise.all(lastLinks.map(([, link]) => link.cut()));
  }
  const downAt = Date.now();
  await delay(1_500);
  const programs = Array.from({ length: PROGRAMS }, (_, index) => `program${index + 1}`);
  for (const program of programs) await useUp(first, program, BUDGET_TOKENS / TURN_TOKENS + 2);
  if (HAS_TROUBLE) {
    record(`${first.name} is killed, and is back within a second`);
    first.signal('SIGKILL');
  }
  await delay(Math.max(0, downAt + OUTAGE_MILLISECONDS - Date.now()));
  if (HAS_TROUBLE) {
    await Promise.all(storeLinks.map((link) => link.open()));
    await Promise.all(lastLinks.map(([, link]) => link.open()));
    record('the store is back, and the partition has ended');
  }
  await delay(3_000);
  for (const program of programs) await useUp(last, program, BUDGET_TOKENS / TURN_TOKENS + 2);
  const most = BUDGET_TOKENS + TURN_TOKENS;
  const over = programs.filter((program) => (tokens.get(program) ?? 0) > most);
  programs.forEach((program) => record(`${program} got ${tokens.get(program)} tokens`));
  record(`BUDGET: ${over.length} of ${PROGRAMS} programs got more than ${most} tokens`);
  if (programs.every((program) => (tokens.get(program) ?? 0) === 0)) return 2;
  return over.length > 0 ? 1 : 0;
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
