import { standardErrorLogger } from '@limpetnotch/supervision';
import { programSignals } from './programSignals';
import { runCli } from './runCli';

programSignals.report.writeTo({ logger: standardErrorLogger });

void runCli(process.argv.slice(2), programSignals).then((exitCode) => {
  // If the event loop were left to drain, the runtime would remove the signal listeners some
  // milliseconds before the process ends. With exit() they stay installed.
  // eslint-disable-next-line n/no-process-exit -- a signal in those milliseconds ends the process
  process.exit(exitCode);
});
