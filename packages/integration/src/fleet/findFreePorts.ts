import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';

const listen = async (): Promise<Server> => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  return server;
};

/** Returns TCP ports that are free now; another process may take them before they are used. */
export const findFreePorts = async (count: number): Promise<readonly number[]> => {
  const servers = await Promise.all(Array.from({ length: count }, listen));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(async (server) => {
      server.close();
      await once(server, 'close');
    }),
  );
  return ports;
};
