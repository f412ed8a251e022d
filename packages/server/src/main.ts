import { programSignals } from './programSignals';
import { runCli } from './runCli';

void runCli(process.argv.slice(2), programSignals).then((exitCode) => {
  // Without this call Node.js removes signal listeners while it shuts down after an empty event
  // loop.
  // eslint-disable-next-line n/no-process-exit -- a signal in those milliseconds ends the process
  process.exit(exitCode);
});
