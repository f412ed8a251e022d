import type { Logger, Metrics } from '@limpetnotch/observability';
import type { DescriptorBounds, HoldingKind, MemoryBounds } from '@limpetnotch/overload';
import { computeDescriptorBounds, computeMemoryBounds, MemoryLedger } from '@limpetnotch/overload';
import type { ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';
import { BufferCollector } from './bufferCollector';
import { BufferLimiter } from '../calls/bufferLimiter';
import type { ConnectionLimits } from '../ingress/connectionGuard';
import { ConnectionGuard } from '../ingress/connectionGuard';

const REPORT_MILLISECONDS = 1_000;

/** Memory that is freed at once when complete responses whose callers don't read are given up. */
const STALLED_BATCH_BYTES = 4 * 1024 * 1024;

/** Parts of {@link OverloadGuards}. */
export interface OverloadGuardsParts {
  readonly memoryBytes: number;
  readonly fileDescriptors: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Bounds on what callers, targets and other instances hold of one instance. */
export class OverloadGuards {
  readonly callers: ConnectionGuard;

  readonly readiness: ConnectionGuard;

  readonly peers: ConnectionGuard;

  readonly metrics: ConnectionGuard;

  readonly ledger: MemoryLedger;

  /** Limits the buffered responses of targets. */
  readonly responses: BufferLimiter;

  readonly #collector = new BufferCollector();

  readonly #parts: OverloadGuardsParts;

  readonly #descriptors: DescriptorBounds;

  constructor(parts: OverloadGuardsParts) {
    this.#parts = parts;
    const bounds = computeMemoryBounds(parts.memoryBytes);
    this.#descriptors = computeDescriptorBounds(parts.fileDescriptors);
    this.ledger = new MemoryLedger(bounds);
    this.callers = this.#createGuard('callers', 'request');
    this.readiness = this.#createGuard('readiness', 'request');
    this.peers = this.#createGuard('peers', 'peer');
    this.metrics = this.#createGuard('metrics', 'request');
    this.responses = this.#createResponseLimiter(bounds);
  }

  /** Requests that may run at once. */
  get maximumRunning(): number {
    return this.#descriptors.running;
  }

  /** Task that reports who holds memory. */
  get task(): ChildSpecification {
    return {
      name: 'overload-report',
      restart: 'always',
      run: async ({ signal, ready }) => {
        ready();
        let stoppedBefore = this.ledger.stoppedCount;
        while (!signal.aborted) {
          await delay(REPORT_MILLISECONDS, signal);
          const { stoppedCount } = this.ledger;
          this.#report(stoppedCount - stoppedBefore);
          stoppedBefore = stoppedCount;
        }
      },
    };
  }

  /** Applies the limits of a configuration to those who are not part of the system. */
  apply(limits: ConnectionLimits): void {
    this.callers.setLimits(limits);
    this.readiness.setLimits(limits);
  }

  #createGuard(listener: 'callers' | 'readiness' | 'peers' | 'metrics', kind: HoldingKind) {
    const { logger, metrics } = this.#parts;
    const maximumConnections = this.#descriptors[listener];
    return new ConnectionGuard({
      listener,
      kind,
      maximumConnections,
      ledger: this.ledger,
      collector: this.#collector,
      logger,
      metrics,
    });
  }

  #createResponseLimiter({ kindBytes }: MemoryBounds): BufferLimiter {
    // Reserved bytes belong to requests that are running or to connections that are closed below.
    const holding = this.ledger.open({
      kind: 'response',
      source: 'targets',
      isRunning: () => true,
      stop: () => undefined,
    });
    return new BufferLimiter(kindBytes.response, {
      tryReserve: (bytes) => {
        if (holding.tryCharge(bytes)) return true;
        this.callers.closeStalledReaders(STALLED_BATCH_BYTES);
        this.ledger.makeRoom('response', bytes);
        return holding.tryCharge(bytes);
      },
      release: (bytes) => holding.release(bytes),
    });
  }

  #report(stopped: number): void {
    const { logger, metrics } = this.#parts;
    const report = this.ledger.report();
    Object.entries(report.kindBytes).forEach(([kind, bytes]) =>
      metrics.gauge('overload.held-bytes', bytes, { kind }),
    );
    if (stopped === 0) return;
    metrics.increment('overload.stopped', stopped);
    const { kindBytes, ...rest } = report;
    logger.warn('overload.stopped', { stopped, ...rest, ...kindBytes });
  }
}
