import { connect } from 'node:net';

/** What an attempt to connect to a target shows. */
export type ConnectionCheck =
  /** Nobody listens: its process is gone. */
  | 'refused'
  | 'accepted'
  /** Nothing came back in time, or the connection failed in another way. */
  | 'unknown';

/** Opens a connection to a host and port, and closes it at once. */
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
