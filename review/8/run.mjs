// Plain modules without a build: their imports need extensions, and steps run one after another.
/* eslint-disable import-x/extensions, no-await-in-loop */
/** A grey runner runs an order and then answers 503 of its own, without saying that it has not run. */
import { writeFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, createAgent, describeRequests } from '../lib-2/client.mjs';
import { delay, Deployment } from '../lib-2/deployment.mjs';
import { Runner } from '../lib-2/runner.mjs';
import { Store } from '../lib-2/store.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';

const RUNNERS = 7;
/** Share of its requests that a grey runner fails. */
const FAILED_SHARE = 0.4;
const DEADLINE = 2_000;
const ORDERS = 280;
const CALLERS = 14;

const record = [];
const note = (text) => record.push(`${(performance.now() / 1_000).toFixed(3)} ${text}`);

class GreyRunner extends Runner {
  isGrey = false;

  async work(run, request, response) {
    if (!this.isGrey || Math.random() >= FAILED_SHARE) {
      await super.work(run, request, response);
      return;
    }
    await delay(this.options.workMilliseconds);
    Object.assign(run, { hasFailed: true });
    response.writeHead(503, {
      'request-id': run.requestId,
      'response-signature': `signed-${run.requestId}`,
      'server-load': this.load,
      'content-length': 0,
    });
    response.end();
  }
}

const main = async () => {
  const store = new Store();
  const storePort = await store.start('127.0.0.1');
  const zones = ['zone-a', 'zone-b', 'zone-c'];
  const deployment = new Deployment({
    storePort,
    machines: [
      { name: 'front-a-1', zone: 'zone-a', role: 'entry' },
      { name: 'front-b-1', zone: 'zone-b', role: 'entry' },
    ],
    limits: { memoryMb: 310, fileDescriptors: 8_200 },
    tolerance: { machines: 1, zones: 0 },
    bounds: { graceS: 8, drainMs: 3_000, configApplyMs: 3_000, quotaWindowS: 5, catchUpS: 6 },
  });
  const runners = Array.from(
    { length: RUNNERS },
    (_, index) =>
      new GreyRunner({
        id: `i-${index + 1}`,
        service: 'booking',
        zone: zones[index % zones.length],
      }),
  );
  try {
    await Promise.all(runners.map((runner) => runner.start()));
    runners.forEach((runner) => runner.announce(store));
    store.put('op/config', {
      version: 3,
      routes: [
        {
          name: 'deposit-charge',
          host: 'quotes.example',
          pathPrefix: '/charge/',
          kind: 'unsafe',
          service: 'booking',
          timeoutMs: DEADLINE,
          targetLatencyMs: 250,
          attempts: 1,
        },
      ],
      services: [{ name: 'booking', healthPath: '/health', connectionLimit: 480 }],
      limits: {
        headerBytes: 16_384,
        bodyBytes: 4_194_304,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
      tenants: [{ name: 'office', apiKeys: ['key-office'] }],
    });
    await deployment.prepare();
    await deployment.startAll();
    await delay(3_000);
    const [grey] = runners;
    grey.isGrey = HAS_TROUBLE;
    if (HAS_TROUBLE) note('i-1 is grey from now on');
    const attempts = [];
    const sendOrder = async (order, agent, front) => {
      const deadline = performance.now() + DEADLINE;
      // A consumer repeats an unsafe request once, and only after a promise that it has not run.
      for (let attempt = 1; attempt <= 2; attempt += 1) {
        const answer = await call({
          host: deployment.hostOf(front),
          port: deployment.frontendPort,
          path: `/charge/${order}`,
          agent: attempt === 1 ? agent : false,
          deadline: Math.max(1, Math.round(deadline - performance.now())),
          headers: { authorization: 'Token key-office' },
          body: `order ${order}`,
        });
        attempts.push({ ...answer, order });
        if (answer.status !== 503 && answer.status !== 429) return;
      }
    };
    let next = 0;
    await Promise.all(
      Array.from({ length: CALLERS }, async (_, index) => {
        const agent = createAgent();
        while (next < ORDERS) {
          next += 1;
          await sendOrder(next, agent, index % 2 === 0 ? 'front-a-1' : 'front-b-1');
        }
        agent.destroy();
      }),
    );
    const runById = new Map(runners.flatMap(({ runs }) => runs).map((run) => [run.requestId, run]));
    const broken = attempts.filter(
      ({ id, status }) => [429, 503].includes(status) && runById.has(id),
    );
    broken.forEach(({ id, status, order }) =>
      note(
        `request ${id} of order ${order} was answered ${status} and has run at ${runById.get(id).runner}`,
      ),
    );
    const runsOfOrders = new Map();
    attempts
      .filter(({ id }) => runById.has(id))
      .forEach(({ order }) => runsOfOrders.set(order, (runsOfOrders.get(order) ?? 0) + 1));
    const doubled = [...runsOfOrders].filter(([, runs]) => runs > 1);
    const statuses = {};
    attempts.forEach(({ status, kind }) => {
      statuses[status ?? kind] = (statuses[status ?? kind] ?? 0) + 1;
    });
    note(`answers ${JSON.stringify(statuses)}; runs at the grey runner: ${grey.runs.length}`);
    record.push(...describeRequests(attempts, [...runById.values()]));
    note(
      `REFUSED: ${broken.length} unsafe requests were answered 429 or 503 and had run; ${doubled.length} orders ran twice`,
    );
    return broken.length > 0 ? 1 : 0;
  } finally {
    await deployment.stop();
    runners.forEach((runner) => runner.stop());
    store.stop();
  }
};

const outcome = await main().catch((error) => {
  note(`could not run: ${error.stack}`);
  return 2;
});
note(`exit ${outcome}`);
await writeFile(join(HERE, 'record.txt'), `${record.join('\n')}\n`);
process.exitCode = outcome;
