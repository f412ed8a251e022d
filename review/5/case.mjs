/* eslint-disable import-x/extensions, no-await-in-loop, no-restricted-syntax -- a plain module, written straight down */
/**
 * The store is down twice, and all instances are killed in between. A program that comes back must
 * not get more tokens than its budget and one turn.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { delay, hasTrouble, runCase, send, startInstances } from '../lib/fleet.mjs';
import { Runner } from '../lib/runner.mjs';
import { Store } from '../lib/store.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const ZONES = ['zone-a', 'zone-a', 'zone-b', 'zone-c'];
const RUNNER_ZONES = ['zone-a', 'zone-b', 'zone-c'];
const HOST = 'shop.example';
const KEY = 'key-of-the-tenant';
const TOKENS_PER_EVENT = 9;
const EVENTS = 32;
const STEP_MILLISECONDS = 8;
const TURN_TOKENS = EVENTS * TOKENS_PER_EVENT;
const BUDGET_TOKENS = 2_304;

const OUTAGE_MILLISECONDS = 5_600;
/** The processes are killed this long before the first outage ends. */
const KILL_BEFORE_END_MILLISECONDS = 1_000;
const BETWEEN_OUTAGES_MILLISECONDS = 6_000;
const RETRY_MILLISECONDS = 250;
/** A turn that fails is sent again at most twice. */
const TRIES = 3;

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'turns',
      host: HOST,
      pathPrefix: '/turns/',
      kind: 'stream',
      timeoutMs: 4000,
      targetLatencyMs: 250,
      priority: 1,
      service: 'models',
      attempts: 1,
      retainContext: false,
      retentionS: 60,
      allowAnonymous: false,
      stickySessions: true,
      allowResume: true,
      gapTargetMs: 200,
    },
  ],
  services: [
    {
      name: 'models',
      healthPath: '/health',
      connectionLimit: 160,
      engine: {
        slots: 16,
        kvCacheTokens: 181053,
        tokensPerEvent: TOKENS_PER_EVENT,
        models: [{ name: 'm' }],
      },
    },
  ],
  limits: { headerBytes: 16384, bodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },
  tenants: [{ name: 'tenant', apiKeys: [KEY], priority: 1, ratePerS: 161, burst: 161 }],
};

await runCase(FOLDER, async (record, cleanUp) => {
  const store = new Store();
  cleanUp(() => store.close());
  store.put('op/config', CONFIGURATION);
  let isStoreDown = false;
  const runners = RUNNER_ZONES.map(
    (zone, index) =>
      new Runner({
        id: `i-${index + 1}`,
        host: '127.0.0.1',
        zone,
        service: 'models',
        isStreaming: true,
        announce: (key, value) => !isStoreDown && store.put(key, value),
        record: (entry) => record.add(entry),
      }),
  );
  for (const runner of runners) await runner.start();
  cleanUp(() => runners.forEach((runner) => runner.crash()));
  const { instances, stop } = await startInstances({ store, zones: ZONES, record });
  cleanUp(stop);
  await delay(3_000);

  let tokens = 0;
  let turn = 0;
  const sendTurn = async () => {
    turn += 1;
    const id = `turn${turn}`;
    const instance = instances[0];
    record.add({ kind: 'sent', request: id, to: instance.name });
    const { how, status, body } = await send(instance, {
      path: `/turns/${EVENTS}x${STEP_MILLISECONDS}`,
      headers: {
        host: HOST,
        authorization: `Token ${KEY}`,
        'request-id': id,
        'deadline-milliseconds': '4000',
        model: 'm',
        'token-counts': `1840,${TURN_TOKENS}`,
        'prompt-prefix': `aa:512,${turn.toString(16).padStart(6, '0')}:1328`,
        'program-id': '3fa81c',
        'session-id': '3fa81c',
        'finish-milliseconds': '60000',
        'token-budget': String(BUDGET_TOKENS),
      },
      body: `prompt of ${id}`,
      waitMilliseconds: 4_500,
    });
    const events = [...body.matchAll(/^id: /gm)].length;
    tokens += events * TOKENS_PER_EVENT;
    record.add({ kind: 'received', request: id, how, status, events, tokens });
    return status;
  };

  /** Sends turns until one fails as often as the program tries it. */
  const runProgram = async (until) => {
    const before = tokens;
    const statuses = [];
    let failures = 0;
    while (failures < TRIES && performance.now() < until) {
      const status = await sendTurn();
      statuses.push(status);
      failures = status === 200 ? 0 : failures + 1;
      if (failures > 0) await delay(RETRY_MILLISECONDS);
    }
    return `${tokens - before} tokens (${statuses.join(' ')})`;
  };

  const setStore = (isDown) => {
    if (!hasTrouble) return;
    isStoreDown = isDown;
    record.add({ kind: isDown ? 'store-down' : 'store-up' });
    instances.forEach((instance) => store.setMode(instance.store, isDown ? 'reset' : 'serving'));
  };

  const phases = [];
  const firstOutage = performance.now();
  const killAt = firstOutage + OUTAGE_MILLISECONDS - KILL_BEFORE_END_MILLISECONDS;
  setStore(true);
  await delay(200);
  phases.push(`first outage: ${await runProgram(killAt - 500)}`);
  await delay(killAt - performance.now());
  if (hasTrouble) instances.forEach((instance) => instance.signal('SIGKILL'));
  await delay(KILL_BEFORE_END_MILLISECONDS);
  setStore(false);
  await delay(BETWEEN_OUTAGES_MILLISECONDS);
  setStore(true);
  const secondEnd = performance.now() + OUTAGE_MILLISECONDS;
  await delay(200);
  phases.push(`second outage: ${await runProgram(secondEnd - 500)}`);
  await delay(secondEnd - performance.now());
  setStore(false);
  await delay(3_000);
  phases.push(`after it: ${await runProgram(Infinity)}`);

  const allowed = BUDGET_TOKENS + TURN_TOKENS;
  return {
    breaks:
      tokens > allowed
        ? [`the program got ${tokens} tokens; its budget and one turn are ${allowed}`]
        : [],
    summary: [`${tokens} tokens of a budget of ${BUDGET_TOKENS}; ${phases.join('; ')}`],
    isValid: tokens > 0,
  };
});
