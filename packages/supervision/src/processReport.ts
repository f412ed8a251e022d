import type { LogFields, Logger, LogMessageId, Metrics } from '@limpetnotch/observability';
import { standardErrorLogger } from './standardErrorLogger';

/** Lines that wait for a logger at most; a start is over within a second. */
const MAXIMUM_WAITING_LINES = 100;

/** Characters of a stack trace that are logged: some twenty frames. */
const MAXIMUM_DETAIL_CHARACTERS = 2_000;

const MILLISECONDS = 1_000;

type Level = 'info' | 'warn' | 'error';

interface Line {
  readonly level: Level;
  readonly message: LogMessageId;
  readonly fields: LogFields;
}

/** Why a process ends. */
type Ending =
  | { readonly kind: 'finished' }
  | { readonly kind: 'stop-signal'; readonly signal: string }
  | { readonly kind: 'crash'; readonly origin: string };

const endingFields = (ending: Ending): LogFields => {
  switch (ending.kind) {
    case 'finished':
      return { reason: ending.kind };
    case 'stop-signal':
      return { reason: ending.kind, signal: ending.signal };
    case 'crash':
      return { reason: ending.kind, origin: ending.origin };
    default:
      return ending satisfies never;
  }
};

const detailOf = (error: unknown): string => {
  const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
  return detail.slice(0, MAXIMUM_DETAIL_CHARACTERS);
};

/** A signal that a process received, and what it causes. */
export interface ReceivedSignal {
  readonly signal: string;
  /** State of the process when the signal arrived. */
  readonly state: string;
  /** What the signal causes. */
  readonly effect: string;
}

/** Where a {@link ProcessReport} writes. */
export interface ReportSinks {
  readonly logger: Logger;
  readonly metrics?: Metrics;
}

/**
 * Logs and counts signals, and logs a crash and the end of the process with its cause. Lines wait
 * until there is a logger; those that still wait when the process ends go to standard error.
 */
export class ProcessReport {
  #sinks: ReportSinks | undefined;

  #waiting: Line[] = [];

  readonly #counts = new Map<string, number>();

  #ending: Ending = { kind: 'finished' };

  constructor(events: NodeJS.EventEmitter = process) {
    events.on('exit', (exitCode: number) => this.#onExit(exitCode));
    // A monitor leaves the default in place: a stack trace on standard error and exit code 1.
    events.on('uncaughtExceptionMonitor', (error: unknown, origin: string) =>
      this.#onCrash(error, origin),
    );
  }

  /** Writes what waits, and all that follows. */
  writeTo(sinks: ReportSinks): void {
    this.#sinks = sinks;
    this.#waiting.forEach((line) => sinks.logger[line.level](line.message, line.fields));
    this.#waiting = [];
    this.#counts.forEach((count, signal) =>
      sinks.metrics?.increment('process.signals', count, { signal }),
    );
  }

  /** Logs and counts a signal. */
  signalReceived({ signal, state, effect }: ReceivedSignal): void {
    const count = (this.#counts.get(signal) ?? 0) + 1;
    this.#counts.set(signal, count);
    this.#sinks?.metrics?.increment('process.signals', 1, { signal });
    this.#write('info', 'signal.received', { signal, state, effect, count });
  }

  /** Names the signal that stops the process as the cause of its end. */
  stoppedBy(signal: string): void {
    this.#ending = { kind: 'stop-signal', signal };
  }

  #onCrash(error: unknown, origin: string): void {
    this.#ending = { kind: 'crash', origin };
    this.#write('error', 'process.crashed', { origin, detail: detailOf(error) });
  }

  #onExit(exitCode: number): void {
    const hasSomethingToTell = this.#sinks !== undefined || this.#waiting.length > 0;
    if (!hasSomethingToTell) return;
    this.#write('info', 'process.exiting', {
      exitCode,
      ...endingFields(this.#ending),
      uptimeMilliseconds: Math.round(process.uptime() * MILLISECONDS),
    });
    if (!this.#sinks) this.writeTo({ logger: standardErrorLogger });
  }

  #write(level: Level, message: LogMessageId, fields: LogFields): void {
    if (this.#sinks) {
      this.#sinks.logger[level](message, fields);
      return;
    }
    if (this.#waiting.length < MAXIMUM_WAITING_LINES) {
      this.#waiting.push({ level, message, fields });
    }
  }
}
