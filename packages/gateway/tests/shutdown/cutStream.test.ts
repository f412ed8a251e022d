import { once } from 'node:events';
import { connect } from 'node:net';
import { delay } from '@limpetnotch/supervision';
import { DrainingInstance } from '../support/drainingInstance';

const HEAD = 'POST / HTTP/1.0\r\nhost: h\r\nx-id: r\r\ncontent-length: 0\r\n\r\n';

test('a stream that is cut does not look complete to a caller of HTTP/1.0', async () => {
  const instance = await DrainingInstance.start({
    target: (_request, response) => {
      response.writeHead(200, { 'x-signed': '1' });
      response.write('id: 1\ndata: a\n\n');
    },
    route: {
      execution: { kind: 'event-stream', isResumable: true, maximumGapMilliseconds: 60_000 },
    },
  });
  const socket = connect(instance.port, '127.0.0.1');
  const errors: unknown[] = [];
  let received = '';
  socket.on('data', (chunk) => {
    received += String(chunk);
  });
  socket.on('error', (error) => errors.push(error));
  const closed = once(socket, 'close');
  socket.write(HEAD);
  while (!received.includes('data: a')) await delay(5);
  await instance.shutDown();
  await closed.catch(() => undefined);
  await instance.close();
  // Such a body has no length: only a reset tells that it isn't whole.
  expect(errors).toHaveLength(1);
}, 20_000);
