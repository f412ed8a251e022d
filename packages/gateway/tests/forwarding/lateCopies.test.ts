import type { RequestListener } from 'node:http';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import fc from 'fast-check';
import { Forwarding } from '../../src/forwarding/forwarding';
import { TargetAccess } from '../../src/forwarding/targetAccess';
import { TargetConnections } from '../../src/targets/targetConnections';
import type { CallerView } from '../support/callHarness';
import { CallHarness } from '../support/callHarness';
import { ForwarderFleet } from './forwarderFleet';

const AT_MOST_ONCE = { execution: { kind: 'at-most-once' } } as const;

const TURN = {
  program: { id: 'p', session: undefined, finishMilliseconds: undefined, tokenBudget: undefined },
  prompt: { inputTokens: 10, maximumOutputTokens: 10, expectedOutputTokens: undefined, parts: [] },
};

const format = (status: string, id: string, headers = ''): string =>
  `HTTP/1.1 ${status}\r\nx-id: ${id}\r\nx-signed: 1\r\n${headers}content-length: 0\r\n\r\n`;

const DECLINES = {
  full: (id: string) => format('503 Full', id, 'x-not-run: 1\r\n'),
  misdirected: (id: string) => format('421 Misdirected', id),
} as const;

/** How the target treats one request, and which way the request takes. */
const sendArbitrary = fc.record({
  isForwarded: fc.constantFrom(true, true, true, false),
  decline: fc.constantFrom(
    undefined,
    undefined,
    'full' as const,
    'full' as const,
    'misdirected' as const,
  ),
  copies: fc.constantFrom(0, 1, 1, 2),
  /** Whether copies follow at once, or precede the next response on the connection. */
  isEarly: fc.constantFrom(false, false, false, true),
});

type Send = typeof sendArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

/** A caller's instance, and another one that sends requests for it while its path is cut. */
class LateCopyFleet {
  runs: string[] = [];

  readonly #sends: Send[];

  readonly #copies = new WeakMap<object, string>();

  #forwarder!: ForwarderFleet;

  #harness!: CallHarness;

  constructor(sends: readonly Send[]) {
    this.#sends = [...sends];
  }

  async start(): Promise<void> {
    this.#forwarder = await ForwarderFleet.start(this.#respond);
    const { peers } = this.#forwarder;
    const forwarding = new Forwarding({
      peers: {
        names: ['forwarder'],
        forward: (name, request, signal) => peers.forward(name, request, signal),
      },
      availabilityZone: 'a',
      availabilityZoneOf: () => 'a',
      logger: silentLogger,
      metrics: new MemoryMetrics(),
    });
    const access = new TargetAccess({
      forwarding,
      checker: { explainFailure: async () => 'unknown' },
      paths: {
        isCut: () => this.#sends[0]?.isForwarded ?? false,
        isSilent: () => false,
        recordReached: () => undefined,
      },
    });
    this.#harness = new CallHarness(new TargetConnections(), {}, access);
    this.#harness.connectionLimit = 2;
    const [target] = this.#forwarder.fleet.targets.all;
    this.#harness.announce('t', target!.address, 'serving', { bornMilliseconds: 5 });
  }

  run(id: string): Promise<CallerView> {
    return this.#harness.run(AT_MOST_ONCE, id, TURN);
  }

  async stop(): Promise<void> {
    await this.#harness.close();
    await this.#forwarder.stop();
  }

  /** Number of requests that ran more than once, or ran and were answered as not run. */
  countFaults(views: readonly CallerView[]): number {
    const runCounts = views.map((_view, index) => this.runs.filter((id) => id === `r${index}`));
    const repeated = runCounts.filter(({ length }) => length > 1).length;
    const denied = views.filter(
      ({ status }, index) => [421, 429, 503].includes(status) && runCounts[index]!.length > 0,
    ).length;
    return repeated + denied;
  }

  readonly #respond: RequestListener = (request) => {
    const { socket, headers } = request;
    const id = String(headers['x-id']);
    request.resume();
    const { decline, copies = 0, isEarly = false } = this.#sends.shift() ?? {};
    if (decline === undefined) this.runs.push(id);
    const response = decline ? DECLINES[decline](id) : format('200 OK', id);
    const due = this.#copies.get(socket) ?? '';
    this.#copies.set(socket, isEarly ? '' : response.repeat(copies));
    socket.write(due + response + (isEarly ? response.repeat(copies) : ''));
  };
}

const DECLINE: Send = { isForwarded: true, decline: 'full', copies: 1, isEarly: false };

const RUN: Send = { isForwarded: true, decline: undefined, copies: 0, isEarly: false };

/** Plays a script, after a run with which the target shows that it serves requests. */
const play = async (sends: readonly Send[], requestCount: number): Promise<readonly string[]> => {
  const fleet = new LateCopyFleet([RUN, ...sends]);
  await fleet.start();
  try {
    const views: CallerView[] = [];
    for (let index = 0; index <= requestCount; index += 1) views.push(await fleet.run(`r${index}`));
    expect(fleet.countFaults(views)).toBe(0);
  } finally {
    await fleet.stop();
  }
  return fleet.runs;
};

// A forwarding instance took the copy for the response to the second send: the request ran again.
test('a second copy of a decline denies no later run through another instance', async () => {
  expect(await play([DECLINE, RUN], 1)).toEqual(['r0', 'r1']);
});

test.each([true, false])(
  'a second copy of a decline denies no run once the path has changed (forwarded first: %s)',
  async (isForwarded) => {
    const sends = [
      { ...DECLINE, isForwarded },
      { ...DECLINE, isForwarded: !isForwarded },
      { ...RUN, isForwarded },
    ];
    expect(await play(sends, 1)).toEqual(['r0', 'r1']);
  },
);

test.each([true, false])(
  'a copy does not decide a request that its caller sends again (forwarded: %s)',
  async (isForwarded) => {
    const fleet = new LateCopyFleet([
      { ...RUN, copies: 1, isForwarded },
      { ...DECLINE, copies: 0, isForwarded },
      { ...RUN, isForwarded },
    ]);
    await fleet.start();
    const views = [await fleet.run('r0'), await fleet.run('r0')];
    await fleet.stop();
    expect([views.map(({ status }) => status), fleet.runs]).toEqual([
      [200, 200],
      ['r0', 'r0'],
    ]);
  },
);

test('late copies of responses cause no second run on any way to a target', async () => {
  const scripts = fc.array(sendArbitrary, { minLength: 4, maxLength: 8 });
  const requestCounts = fc.integer({ min: 1, max: 4 });
  await fc.assert(
    fc.asyncProperty(scripts, requestCounts, async (sends, count) => {
      await play(sends, count);
    }),
    { seed: 73, numRuns: 60 },
  );
}, 30_000);
