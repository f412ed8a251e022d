import type { Dispatcher } from 'undici';
import { Exchange } from '../../src/targets/exchange';

const CONTROLLER = {} as Dispatcher.DispatchController;

const failWith = async (code: string): Promise<unknown> => {
  const exchange = new Exchange();
  const error = Object.assign(new Error('no connection'), { code });
  exchange.onResponseError(CONTROLLER, error);
  return (await exchange.head)._unsafeUnwrapErr();
};

test('a refused connection shows that nothing listens at the address', async () => {
  expect(await failWith('ECONNREFUSED')).toMatchObject({ kind: 'not-sent', isRefused: true });
});

test.each(['ECONNRESET', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'UND_ERR_SOCKET'])(
  '%s before a request was sent does not show that the target has ended',
  async (code) => {
    expect(await failWith(code)).toMatchObject({ kind: 'not-sent', isRefused: false });
  },
);
