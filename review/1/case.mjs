/* eslint-disable import-x/extensions, no-await-in-loop, no-restricted-syntax -- a plain module, written straight down */
/**
 * Two of three runners spoil three in a hundred of their answers: the status line names a status that
 * no final response has. Every request must still get some answer by its route's timeout.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { delay, hasTrouble, PORTS, runCase, startInstances } from '../lib/fleet.mjs';
import { KeptConnection } from '../lib/keptConnection.mjs';
import { Runner } from '../lib/runner.mjs';
import { Store } from '../lib/store.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const ZONES = ['zone-a', 'zone-a', 'zone-b', 'zone-c'];
const RUNNER_ZONES = ['zone-a', 'zone-b', 'zone-c'];
const HOST = 'shop.example';
const KEY = 'key-of-the-tenant';
const CONSUMERS_PER_INSTANCE = 5;
const PAUSE_MILLISECONDS = 150;
const ROUTES = [
  { name: 'orders', kind: 'unsafe', timeoutMs: 1_500 },
  { name: 'prices', kind: 'safe', timeoutMs: 1_200 },
];

/** The trouble comes three times, as it may come more than once. */
const PERIODS = 3;
const TROUBLE_MILLISECONDS = 5_000;
const CALM_MILLISECONDS = 2_000;
const SPOILT_ONE_IN = 33;
/** One runner sends a status of a protocol switch that nobody asked for, the other no status at all. */
const SPOILT_STATUSES = ['101 Switching Protocols', '000 '];

/** A request that has no answer so long after its route's timeout counts. */
const CONFIG_SLACK_MILLISECONDS = 500;
/** Fewer late requests than this say nothing. */
const LEAST_LATE_REQUESTS = 8;

const CONFIGURATION = {
  version: 7,
  routes: ROUTES.map(({ name, kind, timeoutMs }) => ({
    name,
    host: HOST,
    pathPrefix: `/${name}/`,
    kind,
    timeoutMs,
    targetLatencyMs: 250,
    priority: 1,
    service: 'desk',
    attempts: 1,
    retainContext: false,
    allowAnonymous: false,
  })),
  services: [{ name: 'desk', healthPath: '/health', connectionLimit: 96 }],
  limits: { headerBytes: 16384, bodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
  tenants: [{ name: 'tenant', apiKeys: [KEY], priority: 1, ratePerS: 400, burst: 400 }],
};

await runCase(FOLDER, async (record, cleanUp) => {
  const store = new Store();
  cleanUp(() => store.close());
  store.put('op/config', CONFIGURATION);
  const runners = RUNNER_ZONES.map(
    (zone, index) =>
      new Runner({
        id: `desk-${index + 1}`,
        host: '127.0.0.1',
        zone,
        service: 'desk',
        slots: 6,
        queue: 24,
        spoiltStatus: SPOILT_STATUSES[index],
        announce: (key, value) => store.put(key, value),
        record: (entry) => record.add(entry),
      }),
  );
  for (const runner of runners) await runner.start();
  cleanUp(() => runners.forEach((runner) => runner.crash()));
  const { instances, stop } = await startInstances({ store, zones: ZONES, record });
  cleanUp(stop);
  await delay(3_000);

  let isOver = false;
  let count = 0;
  const requests = [];
  const sendRequests = async (instance) => {
    const connection = new KeptConnection(instance, PORTS.frontend);
    while (!isOver) {
      count += 1;
      const { name, kind, timeoutMs } = ROUTES[count % ROUTES.length];
      const id = `${name}${count}`;
      record.add({ kind: 'sent', request: id, to: instance.name });
      const sentAt = performance.now();
      const { how, status } = await connection.send({
        method: kind === 'safe' ? 'GET' : 'POST',
        path: `/${name}/1x30`,
        headers: {
          host: HOST,
          authorization: `Token ${KEY}`,
          'request-id': id,
          'deadline-milliseconds': String(timeoutMs),
        },
        body: kind === 'safe' ? '' : `order ${id}`,
        waitMilliseconds: timeoutMs + CONFIG_SLACK_MILLISECONDS,
      });
      const milliseconds = performance.now() - sentAt;
      record.add({ kind: 'received', request: id, how, status, ms: Math.round(milliseconds) });
      requests.push({ id, how, status, isLate: milliseconds >= timeoutMs });
      await delay(PAUSE_MILLISECONDS);
    }
    connection.close();
  };
  const pending = instances.flatMap((instance) =>
    Array.from({ length: CONSUMERS_PER_INSTANCE }, () => sendRequests(instance)),
  );
  await delay(1_000);
  const setTrouble = (spoiltOneIn) => {
    if (!hasTrouble) return;
    record.add({ kind: 'trouble', spoiltOneIn });
    SPOILT_STATUSES.forEach((_status, index) => {
      runners[index].spoiltOneIn = spoiltOneIn;
    });
  };
  for (let period = 0; period < PERIODS; period += 1) {
    setTrouble(SPOILT_ONE_IN);
    await delay(TROUBLE_MILLISECONDS);
    setTrouble(0);
    await delay(CALM_MILLISECONDS);
  }
  isOver = true;
  await Promise.all(pending);

  const spoilt = record.entries.filter(({ kind }) => kind === 'spoilt');
  const served = requests.filter(({ how, status }) => how === 'answered' && status === 200);
  const late = requests.filter(({ isLate }) => isLate);
  const unanswered = late.filter(({ how }) => how !== 'answered');
  const isBroken = late.length >= LEAST_LATE_REQUESTS && unanswered.length > late.length / 2;
  return {
    breaks: isBroken
      ? [
          `${late.length} requests had no answer at their route's timeoutMs, and ${unanswered.length} of them none half a second later: ${unanswered.map(({ id }) => id).join(' ')}`,
        ]
      : [],
    summary: [
      `requests sent: ${requests.length}, served: ${served.length}, spoilt at a runner: ${spoilt.length}, unanswered: ${unanswered.length}`,
    ],
    isValid: served.length > requests.length / 2,
  };
});
