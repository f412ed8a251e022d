import { createHash } from 'node:crypto';
import {
  checkDeclarations,
  ConfigurationPublisher,
  parseDeclarations,
} from '@limpetnotch/declarations';
import type { Logger, Tracing } from '@limpetnotch/observability';
import { createLogger, MemoryMetrics, startTracing } from '@limpetnotch/observability';
import type { KeyValueStore } from '@limpetnotch/store';
import { createEtcdStore } from '@limpetnotch/store';
import { Instance, settingsSchema } from '@limpetnotch/server';
import { EngineStandIn, StoreStandIn, ToolStandIn } from '@limpetnotch/stand-ins';
import type { EngineOptions } from '@limpetnotch/stand-ins';
import { InMemorySpanExporter } from '@opentelemetry/sdk-trace-base';
import { request } from 'undici';
import { findFreePorts } from './findFreePorts';
import { waitUntil } from './waitUntil';

const START_TIMEOUT_MILLISECONDS = 20_000;
const PORTS_PER_INSTANCE = 2;
const FIRST_ERROR_STATUS = 300;

/** Token for operator requests to a local fleet. */
export const OPERATOR_TOKEN = 'local-operator-token';

/** Options of {@link LocalFleet.start}. */
export interface LocalFleetOptions {
  readonly instances: number;
  readonly engines: number;
  readonly engineSettings: EngineOptions;
  /** Declarations as YAML, without the targets, which the fleet adds. */
  readonly declarations: string;
}

/** One instance that runs in this process. */
export interface LocalInstance {
  readonly name: string;
  readonly address: string;
  readonly metrics: MemoryMetrics;
  /** Lines that the instance logged. */
  readonly logLines: string[];
  /** Shuts the instance down gracefully. */
  stop(): Promise<void>;
}

/** Returns the digest of a key's secret in the format of declarations. */
export const computeKeyDigest = (secret: string): string =>
  `sha256:${createHash('sha256').update(secret).digest('hex')}`;

/** A fleet of instances and stand-ins within this process. */
export class LocalFleet {
  readonly store = new StoreStandIn();

  readonly tools = new ToolStandIn();

  /** Spans of all instances. */
  readonly spans = new InMemorySpanExporter();

  readonly engines: readonly EngineStandIn[];

  readonly instances: LocalInstance[] = [];

  readonly #declarations: string;

  #targetDeclarations = '';

  #storeClient: KeyValueStore | undefined;

  private constructor({ engines, engineSettings, declarations }: LocalFleetOptions) {
    this.#declarations = declarations;
    this.engines = Array.from({ length: engines }, () => new EngineStandIn(engineSettings));
  }

  /** Starts the stand-ins, publishes the declarations and starts the instances. */
  static async start(options: LocalFleetOptions): Promise<LocalFleet> {
    const fleet = new LocalFleet(options);
    await fleet.#startStandIns(options);
    await fleet.publish(options.declarations);
    for (let index = 0; index < options.instances; index += 1) await fleet.#startInstance(index);
    await fleet.waitUntilReady();
    return fleet;
  }

  /** Publishes declarations together with the fleet's targets. */
  async publish(declarations: string = this.#declarations): Promise<void> {
    const text = `${declarations}\n---\n${this.#targetDeclarations}`;
    const checked = checkDeclarations(parseDeclarations([{ path: 'fleet.yaml', text }]));
    if (checked.isErr()) throw new Error(JSON.stringify(checked.error));
    const publisher = new ConfigurationPublisher(this.#getStoreClient());
    const published = await publisher.publish({ configuration: checked.value, author: 'test' });
    if (published.isErr()) throw new Error(JSON.stringify(published.error));
  }

  /** Resolves when every instance is ready. */
  async waitUntilReady(): Promise<void> {
    await Promise.all(
      this.instances.map(async ({ name, address }) =>
        waitUntil(`${name} is ready`, START_TIMEOUT_MILLISECONDS, async () => {
          const response = await request(`${address}/healthz/ready`);
          await response.body.dump();
          return response.statusCode < FIRST_ERROR_STATUS;
        }),
      ),
    );
  }

  /** Stops all instances gracefully, then the stand-ins. */
  async stop(): Promise<void> {
    await Promise.all(this.instances.map(async (instance) => instance.stop()));
    await this.#storeClient?.close();
    await Promise.all([
      this.store.stop(),
      this.tools.stop(),
      ...this.engines.map(async (engine) => engine.stop()),
    ]);
  }

  #getStoreClient(): KeyValueStore {
    this.#storeClient ??= createEtcdStore({ endpoints: [this.#storeAddress] });
    return this.#storeClient;
  }

  #storeAddress = '';

  async #startStandIns({ engineSettings }: LocalFleetOptions): Promise<void> {
    this.#storeAddress = `http://127.0.0.1:${await this.store.start(0)}`;
    const toolPort = await this.tools.start(0);
    const enginePorts = await Promise.all(this.engines.map(async (engine) => engine.start(0)));
    const models = JSON.stringify(engineSettings.models ?? []);
    const engines = enginePorts.map((port, index) =>
      [
        `{ kind: target, name: engine-${index + 1}, spec: {`,
        `address: "http://127.0.0.1:${port}", availabilityZone: zone-a,`,
        `backend: { kind: engine, models: ${models}, resumable: true } } }`,
      ].join(' '),
    );
    const tools = [
      '{ kind: target, name: tools-1, spec: {',
      `address: "http://127.0.0.1:${toolPort}", availabilityZone: zone-a,`,
      'backend: { kind: service } } }',
    ].join(' ');
    this.#targetDeclarations = [...engines, tools].join('\n---\n');
  }

  async #startInstance(index: number): Promise<void> {
    const name = `entry-${index + 1}`;
    const [entryPort, peerPort] = await findFreePorts(PORTS_PER_INSTANCE);
    const settings = settingsSchema.parse({
      instance: name,
      availabilityZone: `zone-${index + 1}`,
      entryPort,
      peerPort,
      store: this.#storeAddress,
      drainSeconds: 0,
      operatorToken: OPERATOR_TOKEN,
    });
    const logLines: string[] = [];
    const logger = createLogger({ instance: name, write: (line) => logLines.push(line) });
    const metrics = new MemoryMetrics();
    const tracing = startTracing({ exporter: this.spans });
    const store = createEtcdStore({ endpoints: settings.store });
    const instance = new Instance({ settings, store, logger, metrics, tracing });
    const shutdown = new AbortController();
    await instance.start(shutdown.signal);
    const stop = LocalFleet.#runUntilStopped(instance, store, tracing, logger, shutdown);
    const address = `http://127.0.0.1:${settings.entryPort}`;
    this.instances.push({ name, address, metrics, logLines, stop });
  }

  /** Runs an instance until the returned function stops it. */
  static #runUntilStopped(
    instance: Instance,
    store: KeyValueStore,
    tracing: Tracing,
    logger: Logger,
    shutdown: AbortController,
  ): () => Promise<void> {
    const running = instance
      .run(shutdown.signal)
      .catch((error: unknown) => logger.error('instance.failed', { reason: String(error) }))
      .then(async () => {
        await Promise.allSettled([store.close(), tracing.stop()]);
      });
    return async () => {
      shutdown.abort();
      await running;
    };
  }
}
