import { connect } from 'node:net';

/** Result of an attempt to connect to a target. */
export type ConnectionCheck =
  /** Nothing listens on the port: the target's process has ended. */
  | 'refused'
  | 'accepted'
  /** The attempt timed out or failed in another way. */
  | 'unknown';

/** Opens a connection to an address (`host:port`) and closes it immediately. */
export const checkConnection = (
  address: string,
  timeoutMilliseconds: number,
): Promise<ConnectionCheck> =>
  new Promise((resolve) => {
    const [host = '', port = ''] = address.split(':');
    const socket = connect({ host, port: Number(port) });
    const finish = (result: ConnectionCheck): void => {
      socket.destroy();
      resolve(result);
    };
    socket.setTimeout(timeoutMilliseconds, () => finish('unknown'));
    socket.once('connect', () => finish('accepted'));
    socket.once('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown'),
    );
  });
