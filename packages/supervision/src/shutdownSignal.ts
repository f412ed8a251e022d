import type { ProcessReport } from './processReport';

/** Aborts on the first SIGTERM or SIGINT. */
export const shutdownSignal = (report: ProcessReport): AbortSignal => {
  const controller = new AbortController();
  const stop = (signal: NodeJS.Signals): void => {
    report.signalReceived({ signal, state: 'serving', effect: 'stop' });
    report.stoppedBy(signal);
    controller.abort();
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  return controller.signal;
};
