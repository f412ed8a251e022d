import type { ServerResponse } from 'node:http';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { QuarantineEntry, QuarantineStage } from '@limpetnotch/scheduling';
import { Call } from '../../src/calls/call';
import { chooseCountingInstances } from '../../src/quarantine/chooseCountingInstances';
import { QuarantineLedger } from '../../src/quarantine/quarantineLedger';
import { QuarantineSharing } from '../../src/quarantine/quarantineSharing';
import { RequestQuarantine } from '../../src/quarantine/requestQuarantine';
import { TargetDirectory } from '../../src/targets/targetDirectory';
import { CrashDetector } from '../../src/targets/crashDetector';
import { TargetLoads } from '../../src/targets/targetLoads';
import { callEnvelope } from '../support/callEnvelope';
import { fleetRoute } from '../support/fleetRoute';
import { fleetTarget } from '../support/fleetTarget';
import { MemoryStore } from '../support/memoryStore';

interface Instance {
  readonly quarantine: RequestQuarantine;
  readonly sharing: QuarantineSharing;
  readonly ledger: QuarantineLedger;
  readonly directory: TargetDirectory;
}

const POLL_MILLISECONDS = 20;
/** The platform's stable window. */
const STABLE_WINDOW_MILLISECONDS = 3_000;

const createCall = (body: string): Call =>
  new Call({
    envelope: callEnvelope({ id: 'r1' }),
    route: fleetRoute({}),
    organisation: undefined,
    service: { name: 's', connectionLimit: 8 },
    body: Buffer.from(body),
    response: {} as ServerResponse,
    arrivedAtMilliseconds: performance.now(),
  });

/** Instances in one process that share their quarantine through a store and by calls. */
export class QuarantineFleet {
  readonly store = new MemoryStore();

  /** Instances that are partitioned from all other instances. */
  readonly isolated = new Set<number>();

  /** Instances that can't reach the store. */
  readonly withoutStore = new Set<number>();

  /** Number of answered calls between instances. */
  callCount = 0;

  readonly #instances: Instance[];

  readonly #tasks: AbortController[] = [];

  readonly #disturbedAt: number[] = [];

  #storeDisturbedAt = -Infinity;

  #targets = 0;

  constructor(count: number) {
    this.store.onWrite = (entry) => {
      this.#instances.forEach(({ ledger }, index) => {
        if (!this.withoutStore.has(index)) ledger.read(entry);
      });
    };
    this.#instances = Array.from({ length: count }, (_value, index) => this.#start(index));
  }

  /** Starts or ends an outage of the store. */
  toggleStore(): void {
    this.store.isDown = !this.store.isDown;
    this.#storeDisturbedAt = performance.now();
  }

  /** Disconnects an instance from the store or from the others, or reconnects it. */
  toggle(cut: Set<number>, index: number): void {
    if (!cut.delete(index)) cut.add(index);
    else if (!this.store.isDown) this.#getInstance(index).ledger.replaceAll(this.store.entries);
    this.#disturbedAt[index] = performance.now();
  }

  /** Whether the required bounds apply to an instance: it was undisturbed for the stable window. */
  isConnected(index: number): boolean {
    const lastAt = Math.max(this.#disturbedAt[index] ?? -Infinity, this.#storeDisturbedAt);
    const isCut = this.store.isDown || this.withoutStore.has(index);
    return !isCut && performance.now() - lastAt >= STABLE_WINDOW_MILLISECONDS;
  }

  /** Replaces an instance by a new one without state, which reads the store. */
  restart(index: number): void {
    const started = this.#start(index);
    this.#instances[index] = started;
    this.#disturbedAt[index] = performance.now();
    if (!this.store.isDown) started.ledger.replaceAll(this.store.entries);
  }

  /** Makes a new target crash during a request that an instance sent to it. */
  async crash(index: number, body = 'deadly'): Promise<void> {
    const { quarantine, directory } = this.#getInstance(index);
    this.#targets += 1;
    const target = fleetTarget({ id: `t${this.#targets}`, address: `10.0.0.1:${this.#targets}` });
    directory.put(target);
    const outcome = { kind: 'broken', detail: 'reset' } as const;
    await quarantine.recordAttempt({ call: createCall(body), target, outcome, ranMilliseconds: 5 });
  }

  /** Makes a target serve a request that an instance sent to it. */
  async serve(index: number, body = 'deadly'): Promise<void> {
    const outcome = { kind: 'delivered', status: 200 } as const;
    const ended = { call: createCall(body), target: fleetTarget({}), outcome, ranMilliseconds: 5 };
    await this.#getInstance(index).quarantine.recordAttempt(ended);
  }

  /** The stage of suspicion of a request at each instance. */
  stages(body = 'deadly'): readonly QuarantineStage[] {
    return this.#instances.map(({ quarantine }) => quarantine.stageOf(createCall(body).digest));
  }

  /** Waits until a request is in a stage at all instances; returns the last stage at each. */
  async waitForStage(
    stage: QuarantineStage,
    milliseconds: number,
    body = 'deadly',
  ): Promise<readonly QuarantineStage[]> {
    const endsAt = performance.now() + milliseconds;
    while (performance.now() < endsAt && this.stages(body).some((one) => one !== stage)) {
      await jest.advanceTimersByTimeAsync(POLL_MILLISECONDS);
    }
    return this.stages(body);
  }

  stop(): void {
    this.#tasks.forEach((task) => task.abort());
  }

  #getInstance(index: number): Instance {
    const instance = this.#instances[index];
    if (!instance) throw new Error(`no instance ${index}`);
    return instance;
  }

  #start(index: number): Instance {
    const [logger, metrics] = [silentLogger, new MemoryMetrics()];
    const directory = new TargetDirectory();
    const check = async () => 'refused' as const;
    const crashDetector = new CrashDetector({ directory, logger, metrics, check });
    const quarantine = new RequestQuarantine({
      crashDetector,
      loads: new TargetLoads(),
      logger,
      metrics,
    });
    const ledger = new QuarantineLedger({ store: this.store.client, quarantine, logger });
    const peers = {
      notifyCountingInstances: async (entries: readonly QuarantineEntry[]) =>
        this.#notify(index, entries, true),
      notifyAll: async (entries: readonly QuarantineEntry[]) => {
        this.#notify(index, entries, false);
      },
    };
    const sharing = new QuarantineSharing({ quarantine, peers, ledger });
    const task = new AbortController();
    this.#tasks.push(task);
    void ledger.task.run({ signal: task.signal, ready: () => undefined });
    return { quarantine, sharing, ledger, directory };
  }

  #notify(
    from: number,
    entries: readonly QuarantineEntry[],
    isForCountingInstances: boolean,
  ): Set<string> {
    const others = this.#instances.map((_one, index) => String(index));
    const accepted = entries.filter(({ requestDigest }) => {
      const names = others.filter((name) => name !== String(from));
      const receivers = (
        isForCountingInstances ? chooseCountingInstances(requestDigest, names) : names
      )
        .map(Number)
        .filter((index) => !this.isolated.has(index) && !this.isolated.has(from));
      this.callCount += receivers.length;
      const own = entries.filter((entry) => entry.requestDigest === requestDigest);
      receivers.forEach((index) => this.#getInstance(index).sharing.receive(own));
      return receivers.length > 0;
    });
    return new Set(accepted.map(({ requestDigest }) => requestDigest));
  }
}
