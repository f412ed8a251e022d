import { ProcessSignals, standardErrorLogger } from '@limpetnotch/supervision';
import { runCli } from './runCli';

const signals = ProcessSignals.install();
signals.report.writeTo({ logger: standardErrorLogger });

void runCli(process.argv.slice(2), signals).then((exitCode) => {
  // Listeners of signals go while the runtime winds down after an empty event loop, not here.
  // eslint-disable-next-line n/no-process-exit -- a signal in those milliseconds ends the process
  process.exit(exitCode);
});
