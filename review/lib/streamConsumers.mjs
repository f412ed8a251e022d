/**
 * Consumers of streams, in a process of their own. Each opens a connection, sends one request and
 * reads its answer to the end as fast as it arrives; it keeps nothing of the body.
 */
import { connect } from 'node:net';

const { hosts, port, pauseMilliseconds, path, headers, waitMilliseconds } = JSON.parse(
  process.argv[2],
);

const LAST_CHUNK = '0\r\n\r\n';
let count = 0;

const tell = (entry) => process.connected && process.send({ kind: 'record', entry });

const sendTurn = () => {
  count += 1;
  const id = `turn${count}`;
  const host = hosts[count % hosts.length];
  const body = `prompt of ${id}`;
  const lines = Object.entries({
    ...headers,
    'request-id': id,
    'prompt-prefix': `aa:512,${count.toString(16).padStart(6, '0')}:88`,
    'content-length': body.length,
    connection: 'close',
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  tell({ kind: 'sent', request: id, to: host });
  const socket = connect(port, host);
  let start = '';
  let end = '';
  let bytes = 0;
  const timer = setTimeout(() => socket.destroy(), waitMilliseconds);
  socket.on('error', () => undefined);
  socket.on('data', (chunk) => {
    bytes += chunk.length;
    if (start.length < 64) start += chunk.toString('latin1', 0, 64);
    end = (end + chunk.toString('latin1', Math.max(0, chunk.length - 8))).slice(-8);
  });
  socket.once('close', () => {
    clearTimeout(timer);
    const status = /^HTTP\/1.1 (\d+)/.exec(start)?.[1];
    const isWhole = status !== '200' || end.endsWith(LAST_CHUNK);
    tell({ kind: 'received', request: id, status, bytes, isWhole });
  });
  socket.write(`POST ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`);
};

const traffic = setInterval(sendTurn, pauseMilliseconds);
process.once('message', () => clearInterval(traffic));
// eslint-disable-next-line n/no-process-exit -- the case has ended
process.once('disconnect', () => process.exit(0));
