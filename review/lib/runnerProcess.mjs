/* eslint-disable import-x/extensions -- a plain module without a build */
/** Runs one runner in a process of its own, as a child of a case. */
import { Runner } from './runner.mjs';

const tell = (message) => process.connected && process.send(message);
const runner = new Runner({
  ...JSON.parse(process.argv[2]),
  announce: (key, value) => tell({ kind: 'announce', key, value }),
  record: (entry) => tell({ kind: 'record', entry }),
});

process.on('message', ({ blankBytesPerSecond }) => {
  runner.blankBytesPerSecond = blankBytesPerSecond;
});
// eslint-disable-next-line n/no-process-exit -- the case has ended
process.once('disconnect', () => process.exit(0));
await runner.start();
