/* eslint n/no-sync: "off", no-await-in-loop: "off", no-restricted-syntax: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", class-methods-use-this: "off" --
   as for the TypeScript sources; scripts run once, and modules of the runtime need extensions */
import { readFileSync, writeFileSync } from 'node:fs';
import { Agent } from 'node:http';
import { fileURLToPath } from 'node:url';
import { Runner } from '../lib-3/runner.mjs';
import { Store } from '../lib-3/store.mjs';
import {
  createFolder,
  createHosts,
  delay,
  send,
  SystemProcess,
  untilReady,
} from '../lib-3/system.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const MEMORY_MEGABYTES = 310;
/** With the other headers below the configured limit of 16,384 bytes. */
const LONG_NAME_BYTES = 15_000;
const SHORT_NAME_BYTES = 12;
const CONNECTIONS = 8;
const REQUESTS = 18_000;
const SECONDS = 90;

const lines = [];
const record = (text) => lines.push(text);

const folder = createFolder();
const store = new Store();
const runners = Array.from(
  { length: 3 },
  (_, index) =>
    new Runner({ id: `runner-${index}`, service: 'tools', zone: 'zone-a', slots: 6, queue: 24 }),
);
let entry;

const close = async () => {
  await entry?.stop();
  runners.forEach((one) => one.close());
  store.close();
  folder.close();
};

const readMegabytes = () => {
  try {
    const status = readFileSync(`/proc/${entry.pid}/status`, 'utf8');
    return Math.round(Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_000);
  } catch {
    return 0;
  }
};

let sent = 0;
const statuses = {};

const ask = async (program, agent) => {
  sent += 1;
  const { status } = await send({
    host: entry.host,
    path: '/tools/1',
    headers: {
      host: 'shop.example',
      'request-id': `request${sent}`,
      'deadline-milliseconds': '1200',
      authorization: 'Token key-one',
      'program-id': program,
      'session-id': 'line',
      'finish-milliseconds': '5000',
    },
    agent,
  });
  statuses[status] = (statuses[status] ?? 0) + 1;
  return status;
};

/** A caller whose programs have names of legal size, each used once. */
const keepAsking = async (caller, until) => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const bytes = HAS_TROUBLE ? LONG_NAME_BYTES : SHORT_NAME_BYTES;
  while (sent < REQUESTS && Date.now() < until && entry.ends.length === 0) {
    await ask(`${caller}-${sent}-`.padEnd(bytes, 'n'), agent);
  }
  agent.destroy();
};

const main = async () => {
  await Promise.all(runners.map((one) => one.start()));
  store.put('op/config', {
    version: 3,
    routes: [
      {
        name: 'tools',
        host: 'shop.example',
        pathPrefix: '/tools/',
        kind: 'safe',
        timeoutMs: 1_200,
        targetLatencyMs: 80,
        priority: 0,
        service: 'tools',
        attempts: 1,
        retainContext: false,
        allowAnonymous: false,
        stickySessions: false,
        allowResume: false,
      },
    ],
    services: [{ name: 'tools', healthPath: '/health', connectionLimit: 110 }],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'one', apiKeys: ['key-one'], priority: 1, ratePerS: 0, burst: 0 }],
  });
  runners.forEach((one) => store.put(`servers/${one.id}`, one.entry));
  entry = new SystemProcess({
    name: 'frontend-1',
    role: 'entry',
    host: createHosts()(1),
    zone: 'zone-a',
    storePort: await store.open(),
    folder: folder.path,
    memoryMb: MEMORY_MEGABYTES,
    restarts: false,
  });
  entry.start(true);
  if (!(await untilReady(entry))) {
    record('the entry did not become ready');
    return 2;
  }
  await delay(2_000);
  const started = Date.now();
  let mostMegabytes = 0;
  const sample = setInterval(() => {
    const megabytes = readMegabytes();
    mostMegabytes = Math.max(mostMegabytes, megabytes);
    record(`${Math.round((Date.now() - started) / 1_000)} s: ${sent} sent, ${megabytes} MB`);
  }, 2_000);
  const until = started + SECONDS * 1_000;
  await Promise.all(
    Array.from({ length: CONNECTIONS }, (_, index) => keepAsking(`caller-${index}`, until)),
  );
  await delay(1_000);
  clearInterval(sample);
  const last = entry.ends.length === 0 ? await ask('ordinary', undefined) : 0;
  record(`answers: ${JSON.stringify(statuses)}; an ordinary request at the end: ${last}`);
  record(`most resident memory: ${mostMegabytes} MB of ${MEMORY_MEGABYTES} MB`);
  entry.ends.forEach(({ code, signal }) => record(`the process ended: ${code ?? signal}`));
  const fatal = /FATAL ERROR.*/.exec(entry.output)?.[0];
  if (fatal) record(fatal);
  if (!(statuses[200] > 100)) return 2;
  return entry.ends.length > 0 || mostMegabytes > MEMORY_MEGABYTES || last !== 200 ? 1 : 0;
};

try {
  process.exitCode = await main();
} catch (error) {
  record(String(error.stack));
  process.exitCode = 2;
} finally {
  await close();
  writeFileSync(fileURLToPath(new URL('record.txt', import.meta.url)), `${lines.join('\n')}\n`);
}
