import type { LogFields, Logger, LogMessageId, Metrics } from '@limpetnotch/observability';
import { standardErrorLogger } from './standardErrorLogger';

/** Limit on lines buffered until a logger is set; a start takes less than a second. */
const MAXIMUM_PENDING_LINES = 100;

/** Limit on the characters of a logged stack trace: about twenty frames. */
const MAXIMUM_DETAIL_CHARACTERS = 2_000;

const MILLISECONDS_PER_SECOND = 1_000;

type LogLevel = 'info' | 'warn' | 'error';

interface PendingLine {
  readonly level: LogLevel;
  readonly message: LogMessageId;
  readonly fields: LogFields;
}

/** Cause of the exit of a process. */
type ExitCause =
  | { readonly kind: 'finished' }
  | { readonly kind: 'stop-signal'; readonly signal: string }
  | { readonly kind: 'crash'; readonly origin: string };

const toExitFields = (cause: ExitCause): LogFields => {
  switch (cause.kind) {
    case 'finished':
      return { reason: cause.kind };
    case 'stop-signal':
      return { reason: cause.kind, signal: cause.signal };
    case 'crash':
      return { reason: cause.kind, origin: cause.origin };
    default:
      return cause satisfies never;
  }
};

const formatErrorDetail = (error: unknown): string => {
  const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
  return detail.slice(0, MAXIMUM_DETAIL_CHARACTERS);
};

/** A signal that a process received, and its effect. */
export interface ReceivedSignal {
  readonly signal: string;
  /** State of the process when the signal arrived. */
  readonly state: string;
  /** What the signal causes. */
  readonly effect: string;
}

/** Outputs of a {@link ProcessReport}. */
export interface ReportSinks {
  readonly logger: Logger;
  readonly metrics?: Metrics;
}

/**
 * Logs and counts signals, and logs a crash and the exit of the process with its cause. Lines are
 * buffered until a logger is set; lines still buffered at exit are written to standard error.
 */
export class ProcessReport {
  #sinks: ReportSinks | undefined;

  #pendingLines: PendingLine[] = [];

  readonly #signalCounts = new Map<string, number>();

  #exitCause: ExitCause = { kind: 'finished' };

  constructor(events: NodeJS.EventEmitter = process) {
    events.on('exit', (exitCode: number) => this.#onExit(exitCode));
    // A monitor keeps the default action: a stack trace on standard error and exit code 1.
    events.on('uncaughtExceptionMonitor', (error: unknown, origin: string) =>
      this.#onCrash(error, origin),
    );
  }

  /** Sets the outputs, and writes the buffered lines and counts to them. */
  writeTo(sinks: ReportSinks): void {
    this.#sinks = sinks;
    this.#pendingLines.forEach((line) => sinks.logger[line.level](line.message, line.fields));
    this.#pendingLines = [];
    this.#signalCounts.forEach((count, signal) =>
      sinks.metrics?.increment('process.signals', count, { signal }),
    );
  }

  /** Logs and counts a signal. */
  recordSignal({ signal, state, effect }: ReceivedSignal): void {
    const count = (this.#signalCounts.get(signal) ?? 0) + 1;
    this.#signalCounts.set(signal, count);
    this.#sinks?.metrics?.increment('process.signals', 1, { signal });
    this.#write('info', 'signal.received', { signal, state, effect, count });
  }

  /** Records a stop signal as the cause of the exit. */
  recordStopSignal(signal: string): void {
    this.#exitCause = { kind: 'stop-signal', signal };
  }

  #onCrash(error: unknown, origin: string): void {
    this.#exitCause = { kind: 'crash', origin };
    this.#write('error', 'process.crashed', { origin, detail: formatErrorDetail(error) });
  }

  #onExit(exitCode: number): void {
    const hasLogOutput = this.#sinks !== undefined || this.#pendingLines.length > 0;
    if (!hasLogOutput) return;
    this.#write('info', 'process.exiting', {
      exitCode,
      ...toExitFields(this.#exitCause),
      uptimeMilliseconds: Math.round(process.uptime() * MILLISECONDS_PER_SECOND),
    });
    if (!this.#sinks) this.writeTo({ logger: standardErrorLogger });
  }

  #write(level: LogLevel, message: LogMessageId, fields: LogFields): void {
    if (this.#sinks) {
      this.#sinks.logger[level](message, fields);
      return;
    }
    if (this.#pendingLines.length < MAXIMUM_PENDING_LINES) {
      this.#pendingLines.push({ level, message, fields });
    }
  }
}
