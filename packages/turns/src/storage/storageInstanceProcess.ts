import { randomUUID } from 'node:crypto';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore } from '@limpetnotch/store';
import type { ChildSpecification } from '@limpetnotch/supervision';
import { delay, settleWithin, Supervisor, untilAborted } from '@limpetnotch/supervision';
import type { SegmentFiles } from '@limpetnotch/turn-log';
import { TurnLog } from '@limpetnotch/turn-log';
import { Completeness } from './completeness';
import type { CompletenessMarker } from './completenessMarker';
import { EXPIRY_MARGIN_MILLISECONDS } from './expiryMargin';
import type { StorageCodec } from './storageCodec';
import { StorageComponents } from './storageComponents';
import type { StorageSettings } from './storageSettings';
import { StorageView } from './storageView';
import { TurnClients } from './turnClients';
import { TurnListener } from './turnListener';
import type { TurnServiceHandlers } from './turnServiceHandlers';
import { WakeSignal } from './wakeSignal';

/** Interval of the rounds of repair, which find turns that were stored elsewhere meanwhile. */
const REPAIR_INTERVAL_MILLISECONDS = 1_000;

/** Pause between rounds of repair that the changes of the list of instances cause. */
const REPAIR_PAUSE_MILLISECONDS = 200;

const RETIREMENT_INTERVAL_MILLISECONDS = 250;

const EXPIRY_INTERVAL_MILLISECONDS = 5_000;

/** Interval of attempts to open the log and the port. */
const START_RETRY_MILLISECONDS = 500;

/** Part of the grace time for calls that are running, and for the end of the presence. */
const STOP_FRACTION = 0.25;

/** Restarts of a task within half a minute; storage goes on while any task can still work. */
const MAXIMUM_RESTARTS = 1_000;

/** Parts of a {@link StorageInstanceProcess}. */
export interface StorageInstanceParts {
  readonly settings: StorageSettings;
  readonly files: SegmentFiles;
  readonly marker: CompletenessMarker;
  readonly store: KeyValueStore;
  readonly codec: StorageCodec;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A storage instance: holds turns on its disk, repairs them and hands them over at its retirement. */
export class StorageInstanceProcess {
  readonly #parts: StorageInstanceParts;

  readonly #incarnation = randomUUID();

  readonly #clients = new TurnClients();

  readonly #wake = new WakeSignal();

  readonly #view: StorageView;

  readonly #completeness: Completeness;

  #listener: TurnListener | undefined;

  constructor(parts: StorageInstanceParts) {
    const { store, codec, logger, marker, settings } = parts;
    this.#parts = parts;
    this.#view = new StorageView({ store, codec, logger, onChange: () => this.#wake.wake() });
    const { isFirstStart } = settings;
    this.#completeness = new Completeness({ marker, logger, isFirstStart });
  }

  /** TCP port of the service; 0 before it listens. */
  get port(): number {
    return this.#listener?.port ?? 0;
  }

  /** Runs until the signal aborts, then ends within the grace time. */
  async run(signal: AbortSignal): Promise<void> {
    const { logger, metrics, settings } = this.#parts;
    const log = await this.#openLog(signal);
    if (!log) return;
    await this.#completeness.start(log);
    const components = this.#createComponents(log);
    this.#listener = await this.#listen(components.handlers, signal);
    const supervisor = new Supervisor({
      name: 'storage',
      logger,
      metrics,
      maximumRestarts: MAXIMUM_RESTARTS,
    });
    await supervisor.startChildren(this.#createTasks(log, components), signal);
    logger.info('storage.started', { port: this.port, turns: log.size });
    const running = supervisor.run(signal);
    try {
      await Promise.race([running, untilAborted(signal)]);
    } finally {
      // The tasks may be waiting for calls, so their end is not awaited before the presence ends.
      const milliseconds = settings.graceMilliseconds * STOP_FRACTION;
      await settleWithin(components.presence.release(), milliseconds, () => undefined);
      await this.#listener?.close(milliseconds);
      this.#clients.close();
      await settleWithin(log.close(), milliseconds, () => undefined);
      await settleWithin(running, milliseconds, () => undefined);
      logger.info('storage.stopped', {});
    }
  }

  async #openLog(signal: AbortSignal): Promise<TurnLog | undefined> {
    const { files, logger } = this.#parts;
    while (!signal.aborted) {
      const opened = await TurnLog.open({
        files,
        logger,
        expiryMarginMilliseconds: EXPIRY_MARGIN_MILLISECONDS,
        onDamage: () => {
          this.#completeness.recordDamage();
          this.#wake.wake();
        },
      });
      if (opened.isOk()) return opened.value;
      logger.error('storage.log-unreadable', { ...opened.error });
      await delay(START_RETRY_MILLISECONDS, signal);
    }
    return undefined;
  }

  async #listen(
    handlers: TurnServiceHandlers,
    signal: AbortSignal,
  ): Promise<TurnListener | undefined> {
    const { settings, metrics, logger } = this.#parts;
    const { host, port } = settings;
    while (!signal.aborted) {
      try {
        return await TurnListener.start({
          host,
          port,
          metrics,
          implementation: handlers.implementation,
        });
      } catch (error) {
        const detail = error instanceof Error ? error.message : String(error);
        logger.error('storage.not-listening', { host, port, detail });
        await delay(START_RETRY_MILLISECONDS, signal);
      }
    }
    return undefined;
  }

  #createComponents(log: TurnLog): StorageComponents {
    return new StorageComponents({
      ...this.#parts,
      log,
      incarnation: this.#incarnation,
      view: this.#view,
      completeness: this.#completeness,
      clients: this.#clients,
      getPort: () => this.port,
      wakeRepair: () => this.#wake.wake(),
    });
  }

  #createTasks(
    log: TurnLog,
    { repair, retirement, presence, absences }: StorageComponents,
  ): readonly ChildSpecification[] {
    const create = (
      name: string,
      run: (signal: AbortSignal) => Promise<void>,
    ): ChildSpecification => ({
      name: `storage.${name}`,
      restart: 'always',
      run: async ({ signal, ready }) => {
        ready();
        await run(signal);
      },
    });
    const repeat = (
      name: string,
      milliseconds: number,
      step: () => Promise<unknown>,
    ): ChildSpecification =>
      create(name, async (signal) => {
        while (!signal.aborted) {
          await step();
          await delay(milliseconds, signal);
        }
      });
    return [
      create('view', (signal) => this.#view.follow(signal)),
      create('presence', (signal) => presence.run(signal)),
      create('repair', async (signal) => {
        while (!signal.aborted) {
          if (this.#view.isKnown) await repair.runRound();
          await delay(REPAIR_PAUSE_MILLISECONDS, signal);
          await this.#wake.wait(REPAIR_INTERVAL_MILLISECONDS, signal);
        }
      }),
      repeat('retirement', RETIREMENT_INTERVAL_MILLISECONDS, async () => {
        await retirement.advance();
        await absences.advance();
      }),
      repeat('expiry', EXPIRY_INTERVAL_MILLISECONDS, async () => {
        await log.removeExpired(Date.now());
        this.#parts.metrics.gauge('storage.turns', log.size);
        this.#parts.metrics.gauge('storage.segments', log.segments);
      }),
    ];
  }
}
