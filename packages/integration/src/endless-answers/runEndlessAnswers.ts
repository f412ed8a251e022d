import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { Agent, get } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { CallerRecord, EndlessShape } from '@limpetnotch/stand-ins';
import {
  CallerConnection,
  endlessShapes,
  EndlessTarget,
  PLATFORM_PORTS,
  platformConfiguration,
  platformRequestHeaders,
  platformSettings,
  PlatformStoreStandIn,
  PlatformTargetStandIn,
  READINESS_PATH,
} from '@limpetnotch/stand-ins';
import { delay } from '@limpetnotch/supervision';
import { ManagedProcess } from '../fleet/managedProcess';
import { waitUntil } from '../fleet/waitUntil';

const HOST = 'shop.example';
const KEY = 'key';
const AVAILABILITY_ZONE = 'zone-a';
/** Heap of the entry role in the deploy file. */
const HEAP_FLAG = '--max-old-space-size=160';
const START_MILLISECONDS = 20_000;
const READINESS_MILLISECONDS = 15;
const FAULTY_REQUESTS = 3;
const ORDERS = 12;
const ORDER_MILLISECONDS = 100;
const TIMEOUT_MILLISECONDS = 4_000;
const MAXIMUM_TARGETS = 3;

/** What callers of one instance saw while one target sent bytes without end. */
export interface EndlessAnswersResult {
  readonly shape: string;
  /** Longest response time of the readiness check, in milliseconds. */
  readonly longestReadinessMilliseconds: number;
  /** Orders at a sound target that were answered with success. */
  readonly answeredOrders: number;
  readonly orders: number;
  /** Longest time until a request to the faulty target ended, in milliseconds. */
  readonly longestFaultyMilliseconds: number;
  /** How the requests to the faulty target ended. */
  readonly faultyOutcomes: readonly string[];
  /** Whether the process still runs. */
  readonly isRunning: boolean;
  /** Connections on which the faulty target still sends afterwards. */
  readonly openConnections: number;
}

const createRoute = (name: string, kind: 'safe' | 'unsafe' | 'stream', service: string) => ({
  name,
  kind,
  service,
  isResumable: kind === 'stream',
  maximumTargets: kind === 'unsafe' ? 1 : MAXIMUM_TARGETS,
  timeoutMilliseconds: TIMEOUT_MILLISECONDS,
});

const CONFIGURATION = platformConfiguration({
  version: 1,
  host: HOST,
  routes: [
    createRoute('order', 'unsafe', 'desk'),
    createRoute('plain', 'safe', 'faulty'),
    createRoute('stream', 'stream', 'faulty'),
  ],
  services: [{ name: 'desk' }, { name: 'faulty' }],
  organisations: [{ name: 'tenant', key: KEY, isRated: false }],
});

const describeOutcome = ({ outcome }: CallerRecord): string =>
  outcome.kind === 'answered' ? String(outcome.status) : outcome.kind;

/** An instance process with a sound target and one whose answers don't end. */
class EndlessAnswersRun {
  readonly #store = new PlatformStoreStandIn();

  readonly #host = `127.${1 + (process.pid % 250)}.77.1`;

  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });

  #shape: EndlessShape | undefined;

  #launch: (() => ManagedProcess) | undefined;

  #instance: ManagedProcess | undefined;

  #faulty: EndlessTarget | undefined;

  #sound: PlatformTargetStandIn | undefined;

  #requestCount = 0;

  async start(program: string, folder: string): Promise<void> {
    await this.#store.server.start();
    this.#store.configure(CONFIGURATION);
    this.#sound = await PlatformTargetStandIn.start({
      id: 'desk-1',
      slots: 16,
      isStreaming: false,
      version: 'v1',
      port: 0,
      record: () => undefined,
    });
    this.#faulty = await EndlessTarget.start((headers) => this.#createShape(headers));
    this.#announce('desk', this.#sound.port);
    this.#announce('faulty', this.#faulty.port);
    const settings = join(folder, 'instance.toml');
    await writeFile(
      settings,
      platformSettings({
        instance: 'instance-1',
        host: this.#host,
        availabilityZone: AVAILABILITY_ZONE,
        graceSeconds: 8,
        quotaWindowSeconds: 5,
        isFirstStart: true,
        storePort: this.#store.server.port,
      }),
    );
    this.#launch = () =>
      new ManagedProcess({
        name: 'instance-1',
        script: HEAP_FLAG,
        arguments: [program, 'serve', '--settings', settings],
      });
    await this.#restart();
  }

  /** Starts the process, and waits until it serves. */
  async #restart(): Promise<void> {
    this.#instance = this.#launch?.();
    const hasServed = async (): Promise<boolean> =>
      describeOutcome(await this.#send('order')) === '200';
    await waitUntil('the first order is served', START_MILLISECONDS, hasServed);
  }

  async play(shape: EndlessShape, route: 'plain' | 'stream'): Promise<EndlessAnswersResult> {
    this.#shape = shape;
    if (this.#instance?.hasExited) await this.#restart();
    const readiness = { longest: 0, isOver: false };
    const probing = this.#probeReadiness(readiness);
    const faulty = Promise.all(Array.from({ length: FAULTY_REQUESTS }, () => this.#send(route)));
    const orders: CallerRecord[] = [];
    for (let order = 0; order < ORDERS; order += 1) {
      orders.push(await this.#send('order'));
      await delay(ORDER_MILLISECONDS);
    }
    const records = await faulty;
    await delay(READINESS_MILLISECONDS);
    readiness.isOver = true;
    await probing;
    return {
      shape: shape.name,
      longestReadinessMilliseconds: Math.round(readiness.longest),
      answeredOrders: orders.filter((record) => describeOutcome(record) === '200').length,
      orders: ORDERS,
      longestFaultyMilliseconds: Math.round(
        Math.max(...records.map(({ beganAt, endedAt }) => endedAt - beganAt)),
      ),
      faultyOutcomes: records.map(describeOutcome),
      isRunning: !this.#instance?.hasExited,
      openConnections: this.#faulty?.openConnections ?? 0,
    };
  }

  async stop(): Promise<void> {
    this.#agent.destroy();
    this.#faulty?.stop();
    await this.#instance?.kill();
    await this.#sound?.end();
    await this.#store.server.stop();
  }

  #createShape(headers: string): EndlessShape {
    const shape = endlessShapes(headers).find(({ name }) => name === this.#shape?.name);
    if (!shape) throw new Error(`no shape ${this.#shape?.name}`);
    return shape;
  }

  #announce(service: string, port: number): void {
    this.#store.announceTarget({
      id: `${service}-1`,
      service,
      port,
      slots: 16,
      availabilityZone: AVAILABILITY_ZONE,
      isLeaving: false,
      version: 'v1',
      bornMilliseconds: Date.now(),
    });
  }

  /** Sends a request on a new connection. */
  async #send(route: 'order' | 'plain' | 'stream'): Promise<CallerRecord> {
    this.#requestCount += 1;
    const id = `${route}-${this.#requestCount}`;
    const connection = await CallerConnection.open(this.#host, PLATFORM_PORTS.entry);
    const request = {
      id,
      method: 'POST' as const,
      path: `/${route}/1x10`,
      headers: platformRequestHeaders({
        id,
        host: HOST,
        key: KEY,
        deadlineMilliseconds: TIMEOUT_MILLISECONDS,
      }),
      body: id,
      leaveAfterMilliseconds: undefined,
      giveUpAfterMilliseconds: TIMEOUT_MILLISECONDS + 1_000,
    };
    if (connection) return connection.send(request);
    const now = performance.now();
    const outcome = {
      kind: 'broken',
      status: undefined,
      body: '',
      detail: 'not connected',
    } as const;
    return { request, connectedAt: now, beganAt: now, sentAt: undefined, endedAt: now, outcome };
  }

  async #probeReadiness(readiness: { longest: number; isOver: boolean }): Promise<void> {
    while (!readiness.isOver) {
      const startedAt = performance.now();
      await this.#askReadiness();
      const mutableReadiness = readiness;
      mutableReadiness.longest = Math.max(readiness.longest, performance.now() - startedAt);
      await delay(READINESS_MILLISECONDS);
    }
  }

  #askReadiness(): Promise<void> {
    const { readiness: port } = PLATFORM_PORTS;
    return new Promise((resolve) => {
      const options = { host: this.#host, port, path: READINESS_PATH, agent: this.#agent };
      const asked = get({ ...options, timeout: TIMEOUT_MILLISECONDS }, (response) => {
        response.resume();
        response.once('close', resolve);
      });
      asked.once('timeout', () => asked.destroy());
      asked.once('error', () => resolve());
    });
  }
}

/** Options of {@link runEndlessAnswers}. */
export interface EndlessAnswersOptions {
  /** Script of the entry program. */
  readonly program: string;
  /** Names of the shapes to play. */
  readonly shapes: readonly string[];
}

/** Plays shapes one after another on one instance, so that its heap is carried along. */
export const runEndlessAnswers = async ({
  program,
  shapes,
}: EndlessAnswersOptions): Promise<readonly EndlessAnswersResult[]> => {
  const folder = await mkdtemp(join(tmpdir(), 'limpetnotch-endless-'));
  const run = new EndlessAnswersRun();
  try {
    await run.start(program, folder);
    const results: EndlessAnswersResult[] = [];
    for (const shape of endlessShapes('').filter(({ name }) => shapes.includes(name))) {
      const route = shape.first.includes('event-stream') ? 'stream' : 'plain';
      results.push(await run.play(shape, route));
    }
    return results;
  } finally {
    await run.stop();
    await rm(folder, { recursive: true });
  }
};
