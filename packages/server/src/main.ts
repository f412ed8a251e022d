import { programSignals } from './programSignals';
import { runCli } from './runCli';

void runCli(process.argv.slice(2), programSignals).then((exitCode) => {
  // Listeners of signals go while the runtime winds down after an empty event loop, not here.
  // eslint-disable-next-line n/no-process-exit -- a signal in those milliseconds ends the process
  process.exit(exitCode);
});
