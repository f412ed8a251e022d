/* eslint-disable no-await-in-loop -- requests are sent one after another */
const { EventEmitter } = require('node:events');
const { mkdtempSync, rmSync, writeFileSync } = require('node:fs');
const { tmpdir } = require('node:os');
const { join } = require('node:path');
const { setTimeout: delay } = require('node:timers/promises');

/** Absolute paths of the folder of the bundle and of the bundled stand-ins. */
const [, , target, standInsPath] = process.argv;
const { script, runCli } = require(join(target, 'main.js'));
const { ProcessSignals } = require(join(target, 'signals.js'));
const standIns = require(standInsPath);

const HOST = 'warm-up.example';
const KEY = 'warm-up';
const PROGRAMS = 6;
const DEADLINE_MILLISECONDS = 4_000;

/** Longest time for the instances to start and to learn of each other. */
const START_MILLISECONDS = 10_000;
const POLL_MILLISECONDS = 50;
/** New members use their parts of rates after this time. */
const JOIN_MILLISECONDS = 2_500;

const ROUTES = [
  { name: 'turns', kind: 'stream', service: 'engine', isResumable: true },
  { name: 'tools', kind: 'safe', service: 'tool', isResumable: false },
].map((route) => ({ ...route, maximumTargets: 2, timeoutMilliseconds: DEADLINE_MILLISECONDS }));

/** Loopback address of an instance; concurrent builds use different ones. */
const addressOf = (index) => `127.${1 + (process.pid % 250)}.77.${index + 1}`;

const startTarget = async (store, { service }, isStreaming) => {
  const id = `${service}-1`;
  const options = { id, slots: 8, isStreaming, version: 'v1', port: 0, record: () => undefined };
  const { port, bornMilliseconds } = await standIns.PlatformTargetStandIn.start(options);
  const announced = { id, service, port, slots: 8, availabilityZone: 'zone', isLeaving: false };
  store.announceTarget({ ...announced, version: 'v1', bornMilliseconds });
};

const startStore = async () => {
  const store = new standIns.PlatformStoreStandIn();
  await store.server.start();
  store.configure(
    standIns.platformConfiguration({
      version: 1,
      host: HOST,
      routes: ROUTES,
      services: [{ name: 'engine', engineSlots: 8 }, { name: 'tool' }],
      organisations: [{ name: 'warm-up', key: KEY, isRated: true }],
    }),
  );
  await Promise.all(ROUTES.map((route) => startTarget(store, route, route.kind === 'stream')));
  return store;
};

const startInstance = (store, folder, index) => {
  const path = join(folder, `instance-${index}.toml`);
  writeFileSync(
    path,
    standIns.platformSettings({
      instance: `instance-${index}`,
      host: addressOf(index),
      availabilityZone: 'zone',
      graceSeconds: 2,
      quotaWindowSeconds: 5,
      isFirstStart: true,
      storePort: store.server.port,
    }),
  );
  const signals = ProcessSignals.install({ events: new EventEmitter(), isReloadable: true });
  runCli(['serve', '--settings', path], signals);
};

const waitForInstance = async (index) => {
  const { CallerConnection, PLATFORM_PORTS } = standIns;
  const until = Date.now() + START_MILLISECONDS;
  while (Date.now() < until) {
    const connection = await CallerConnection.open(addressOf(index), PLATFORM_PORTS.entry);
    connection?.close();
    if (connection) return;
    await delay(POLL_MILLISECONDS);
  }
  throw new Error(`instance ${index} did not start`);
};

const send = async (index, { name, kind }, id, program) => {
  const { CallerConnection, PLATFORM_PORTS, platformRequestHeaders } = standIns;
  const connection = await CallerConnection.open(addressOf(index), PLATFORM_PORTS.entry);
  const { outcome } = await connection.send({
    id,
    method: kind === 'safe' ? 'GET' : 'POST',
    path: `/${name}/3x5`,
    headers: platformRequestHeaders({
      id,
      host: HOST,
      key: KEY,
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
      program,
      ...(kind === 'stream' && { prompt: { part: program, tokens: 50, answerTokens: 24 } }),
    }),
    body: kind === 'safe' ? '' : 'body',
    giveUpAfterMilliseconds: DEADLINE_MILLISECONDS,
  });
  connection.close();
  if (outcome.kind !== 'answered') throw new Error(`request ${id}: ${outcome.kind}`);
};

/** Programs with turns and a tool call each, whose last turn comes to the other instance. */
const runPrograms = async () => {
  const [turns, tools] = ROUTES;
  for (let program = 0; program < PROGRAMS; program += 1) {
    const name = `program-${program}`;
    await send(program % 2, turns, `${name}-1`, name);
    await send(program % 2, tools, `${name}-2`, name);
    await send((program + 1) % 2, turns, `${name}-3`, name);
  }
};

/** Runs what every instance runs, as the cache contains only functions that have run. */
const warmUp = async () => {
  const folder = mkdtempSync(join(tmpdir(), 'limpetnotch-warm-up-'));
  try {
    const store = await startStore();
    [0, 1].forEach((index) => startInstance(store, folder, index));
    await Promise.all([0, 1].map(waitForInstance));
    await delay(JOIN_MILLISECONDS);
    await runPrograms();
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};

warmUp()
  // A cache without some functions only slows the first requests.
  .catch((error) => process.stderr.write(`the warm-up failed: ${error.stack}\n`))
  .then(() => {
    writeFileSync(join(target, 'bundle.cache'), script.createCachedData());
    process.exit(0);
  });
