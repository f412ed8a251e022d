/* eslint n/no-sync: "off", no-await-in-loop: "off", no-restricted-syntax: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", class-methods-use-this: "off" --
   as for the TypeScript sources; scripts run once, and modules of the runtime need extensions */
import { writeFileSync } from 'node:fs';
import { Agent } from 'node:http';
import { fileURLToPath } from 'node:url';
import { Link } from '../lib-3/link.mjs';
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
const EPISODES = 11;
const CUT_MILLISECONDS = 5_500;
const COPIES_MILLISECONDS = 5_000;
const CALM_MILLISECONDS = 2_500;
const COPY_SHARE = 0.03;

const lines = [];
const record = (text) => lines.push(text);
const finish = (code) => {
  writeFileSync(fileURLToPath(new URL('record.txt', import.meta.url)), `${lines.join('\n')}\n`);
  process.exitCode = code;
};

const folder = createFolder();
const hostOf = createHosts();
const store = new Store();
const runners = ['zone-a'].map(
  (zone, index) =>
    new Runner({ id: `runner-${index}`, service: 'orders', zone, slots: 2, queue: 2 }),
);
const processes = [];
const links = [];
let isRunning = true;

const close = async () => {
  isRunning = false;
  await Promise.all(processes.map((one) => one.stop()));
  runners.forEach((one) => one.close());
  await Promise.all(links.map((one) => one.close()));
  store.close();
  folder.close();
};

let sequence = 0;
const answers = new Map();

/** Sends an order; each has its own id, and none is sent again. */
const order = async (host, name, agent, milliseconds) => {
  sequence += 1;
  const id = `${name}${String(sequence).padStart(6, '0')}`;
  const at = Date.now();
  const answer = await send({
    host,
    method: 'POST',
    path: `/orders/${milliseconds}`,
    headers: {
      host: 'shop.example',
      'request-id': id,
      'deadline-milliseconds': '2000',
      'program-id': `${name}-program`,
      'session-id': `${name}-session`,
      'finish-milliseconds': '60000',
      authorization: 'Token key-one',
    },
    body: 'one breaker',
    agent,
  });
  answers.set(id, { ...answer, at, endedAt: Date.now() });
};

const keepOrdering = async (host, name, pause, milliseconds) => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  while (isRunning) {
    await order(host, name, agent, milliseconds);
    await delay(Math.random() * pause);
  }
  agent.destroy();
};

const judge = () => {
  const runs = new Map();
  runners.forEach((one) =>
    one.runs.forEach((run) =>
      runs.set(run.id, [...(runs.get(run.id) ?? []), { ...run, runner: one.id }]),
    ),
  );
  const describe = (id) => {
    const { status, at, endedAt } = answers.get(id) ?? {};
    record(`  ${id} sent ${at}, answered ${status} at ${endedAt}`);
    runs
      .get(id)
      .forEach((run) =>
        record(`    run at ${run.runner} from ${run.at} to ${run.endedAt}: ${run.end}`),
      );
  };
  const twice = [...runs].filter(([, list]) => list.length > 1).map(([id]) => id);
  const denied = [...answers]
    .filter(([id, { status }]) => [408, 421, 429, 503].includes(status) && runs.has(id))
    .map(([id]) => id);
  const statuses = {};
  answers.forEach(({ status }, id) => {
    const key = `${id.slice(0, 3)} ${status}`;
    statuses[key] = (statuses[key] ?? 0) + 1;
  });
  record(`answers: ${JSON.stringify(statuses)}`);
  record(`late copies sent: ${runners.map((one) => one.copies).join(', ')}`);
  record(`TWICE: ${twice.length} requests that may run once ran more than once`);
  twice.forEach(describe);
  record(`REFUSED: ${denied.length} requests were answered as not run although they ran`);
  denied.forEach(describe);
  const served = answers.size > 0 && [...answers.values()].some(({ status }) => status === 200);
  if (!served) return 2;
  return twice.length + denied.length > 0 ? 1 : 0;
};

const main = async () => {
  await Promise.all(runners.map((one) => one.start()));
  for (const { address } of runners) {
    const link = new Link(address);
    await link.open();
    links.push(link);
  }
  const viewOfFirst = (address) =>
    links[runners.findIndex((one) => one.address === address)]?.address ?? address;
  store.put('op/config', {
    version: 3,
    routes: [
      {
        name: 'orders',
        host: 'shop.example',
        pathPrefix: '/orders/',
        kind: 'unsafe',
        timeoutMs: 2_000,
        targetLatencyMs: 200,
        priority: 0,
        service: 'orders',
        attempts: 1,
        retainContext: false,
        allowAnonymous: false,
        stickySessions: false,
        allowResume: false,
      },
    ],
    services: [{ name: 'orders', healthPath: '/health', connectionLimit: 110 }],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'one', apiKeys: ['key-one'], priority: 1, ratePerS: 0, burst: 0 }],
  });
  runners.forEach((one) => store.put(`servers/${one.id}`, one.entry));
  const views = [viewOfFirst, undefined, undefined];
  for (const [index, zone] of ['zone-a', 'zone-a', 'zone-b'].entries()) {
    const storePort = await store.open(views[index]);
    processes.push(
      new SystemProcess({
        name: `frontend-${index}`,
        role: 'entry',
        host: hostOf(index + 1),
        zone,
        storePort,
        folder: folder.path,
      }),
    );
  }
  processes.forEach((one) => one.start(true));
  const ready = await Promise.all(processes.map((one) => untilReady(one)));
  if (!ready.every(Boolean)) {
    record('an entry did not become ready');
    processes.forEach((one) => record(one.output.slice(-2_000)));
    return 2;
  }
  await delay(2_000);
  const [cutOff, , busy] = processes;
  const callers = [
    ...Array.from({ length: 5 }, () => keepOrdering(busy.host, 'busy', 25, 20)),
    ...Array.from({ length: 1 }, () => keepOrdering(cutOff.host, 'cut', 5, 10)),
  ];
  for (let episode = 1; episode <= EPISODES; episode += 1) {
    if (HAS_TROUBLE) await Promise.all(links.map((link) => link.cut()));
    const at = new Date().toISOString();
    await delay(CUT_MILLISECONDS - COPIES_MILLISECONDS);
    if (HAS_TROUBLE) runners[0].copyShare = COPY_SHARE;
    await delay(COPIES_MILLISECONDS);
    runners.forEach((one) => Object.assign(one, { copyShare: 0 }));
    if (HAS_TROUBLE) await Promise.all(links.map((link) => link.open()));
    record(`${at} episode ${episode}: ${HAS_TROUBLE ? 'cut and late copies' : 'no trouble'}`);
    await delay(CALM_MILLISECONDS);
  }
  isRunning = false;
  await Promise.all(callers);
  await delay(500);
  return judge();
};

try {
  finish(await main());
} catch (error) {
  record(String(error.stack));
  finish(2);
} finally {
  await close();
}
