import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  CallerConnection,
  CrowdTarget,
  PLATFORM_PORTS,
  platformConfiguration,
  platformRequestHeaders,
  platformSettings,
  PlatformStoreStandIn,
} from '@limpetnotch/stand-ins';
import { ManagedProcess } from '../fleet/managedProcess';
import { waitUntil } from '../fleet/waitUntil';

const HOST = 'shop.example';
const KEY = 'key';
const AVAILABILITY_ZONE = 'zone-a';
/** Heap of the entry role in the deploy file. */
const HEAP_FLAG = '--max-old-space-size=160';
const START_MILLISECONDS = 20_000;
/** Time in which an ordinary request must be answered once; refusals until then are allowed. */
const ORDER_MILLISECONDS = 20_000;
const DEADLINE_MILLISECONDS = 4_000;
const BYTES_PER_KILOBYTE = 1_024;

/** Limits in the settings of the process, and those on time in its configuration. */
export interface CrowdLimits {
  readonly memoryMb: number;
  readonly fileDescriptors: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

const createRoute = (name: string) => ({
  name,
  kind: 'unsafe' as const,
  service: 'desk',
  isResumable: false,
  maximumTargets: 1,
  timeoutMilliseconds: DEADLINE_MILLISECONDS,
});

const createConfiguration = ({ headerTimeoutMs, idleTimeoutMs }: CrowdLimits): object => ({
  ...platformConfiguration({
    version: 1,
    host: HOST,
    routes: [createRoute('order'), createRoute('large')],
    services: [{ name: 'desk' }],
    organisations: [{ name: 'tenant', key: KEY, isRated: false }],
  }),
  limits: { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs, idleTimeoutMs },
});

/** Headers of a valid request with this identifier. */
export const headersOf = (id: string): Record<string, string> =>
  platformRequestHeaders({
    id,
    host: HOST,
    key: KEY,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
  });

/** One process of the entry with its store and one target. */
export class CrowdInstance {
  readonly #limits: CrowdLimits;

  readonly #program: string;

  readonly #store = new PlatformStoreStandIn();

  readonly host = `127.${1 + (process.pid % 250)}.78.1`;

  #folder = '';

  #process: ManagedProcess | undefined;

  #target: CrowdTarget | undefined;

  #orders = 0;

  constructor(program: string, limits: CrowdLimits) {
    this.#program = program;
    this.#limits = limits;
  }

  /** Identifier of the process. */
  get pid(): number {
    return this.#process?.pid ?? 0;
  }

  get hasExited(): boolean {
    return this.#process?.hasExited ?? true;
  }

  /** The end of the process's output. */
  get output(): string {
    return this.#process?.output ?? '';
  }

  /** Starts the process, and waits until it serves. */
  async start(): Promise<void> {
    await this.#store.server.start();
    this.#store.configure(createConfiguration(this.#limits));
    this.#target = await CrowdTarget.start();
    this.#store.announceTarget({
      id: 'desk-1',
      service: 'desk',
      port: this.#target.port,
      slots: 64,
      availabilityZone: AVAILABILITY_ZONE,
      isLeaving: false,
      version: 'v1',
      bornMilliseconds: Date.now(),
    });
    this.#folder = await mkdtemp(join(tmpdir(), 'limpetnotch-crowd-'));
    const settings = join(this.#folder, 'instance.toml');
    const { memoryMb, fileDescriptors } = this.#limits;
    const text = platformSettings({
      instance: 'instance-1',
      host: this.host,
      availabilityZone: AVAILABILITY_ZONE,
      graceSeconds: 8,
      quotaWindowSeconds: 5,
      isFirstStart: true,
      storePort: this.#store.server.port,
      limits: { memoryMb, fileDescriptors },
    });
    await writeFile(settings, text);
    this.#process = new ManagedProcess({
      name: 'instance-1',
      script: HEAP_FLAG,
      arguments: [this.#program, 'serve', '--settings', settings],
    });
    await waitUntil('the first order is served', START_MILLISECONDS, () => this.#isOrderServed());
  }

  /**
   * Resident memory of the process now, in bytes; 0 if it has ended. Its peak as the kernel records
   * it includes the load of the program, which a crowd doesn't change.
   */
  async readResidentBytes(): Promise<number> {
    const status = await readFile(`/proc/${this.pid}/status`, 'utf8').catch(() => '');
    return Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0) * BYTES_PER_KILOBYTE;
  }

  /** Number of descriptors that the process has open; 0 if it has ended. */
  async countDescriptors(): Promise<number> {
    return (await readdir(`/proc/${this.pid}/fd`).catch(() => [])).length;
  }

  /** Whether an ordinary request is answered; it is repeated after refusals. */
  async isServing(): Promise<boolean> {
    const startedAt = performance.now();
    while (!this.hasExited && performance.now() - startedAt < ORDER_MILLISECONDS) {
      if (await this.#isOrderServed()) return true;
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
    }
    return false;
  }

  async stop(): Promise<void> {
    await this.#process?.kill();
    this.#target?.stop();
    await this.#store.server.stop();
    await rm(this.#folder, { recursive: true, force: true });
  }

  async #isOrderServed(): Promise<boolean> {
    this.#orders += 1;
    const id = `order-${this.#orders}`;
    const connection = await CallerConnection.open(this.host, PLATFORM_PORTS.entry);
    const record = await connection?.send({
      id,
      method: 'POST',
      path: '/order/1',
      headers: headersOf(id),
      body: id,
      leaveAfterMilliseconds: undefined,
      giveUpAfterMilliseconds: DEADLINE_MILLISECONDS,
    });
    connection?.close();
    return record?.outcome.kind === 'answered' && record.outcome.status === 200;
  }
}
