import { once } from 'node:events';
import { connect } from 'node:net';
import type { Configuration } from '@limpetnotch/declarations';
import type { ProbePort, ProbeTarget } from '@limpetnotch/scheduling';
import { Client } from 'undici';

const FIRST_ERROR_STATUS = 300;

const getPort = ({ port, protocol }: URL): number => {
  if (port !== '') return Number(port);
  return protocol === 'https:' ? 443 : 80;
};

const probeEngine = async (address: string, timeoutMilliseconds: number): Promise<boolean> => {
  const client = new Client(address, { connect: { timeout: timeoutMilliseconds } });
  try {
    const signal = AbortSignal.timeout(timeoutMilliseconds);
    const response = await client.request({ path: '/v1/load', method: 'GET', signal });
    await response.body.dump();
    return response.statusCode < FIRST_ERROR_STATUS;
  } finally {
    await client.destroy();
  }
};

const probeService = async (address: string, timeoutMilliseconds: number): Promise<boolean> => {
  const url = new URL(address);
  const socket = connect({ host: url.hostname, port: getPort(url) });
  try {
    await once(socket, 'connect', { signal: AbortSignal.timeout(timeoutMilliseconds) });
    return true;
  } finally {
    socket.destroy();
  }
};

/**
 * Probes targets on new connections: reads the load of an engine, only connects to a tool service.
 */
export class NewConnectionProbe implements ProbePort {
  readonly #getConfiguration: () => Configuration;

  constructor(getConfiguration: () => Configuration) {
    this.#getConfiguration = getConfiguration;
  }

  async probe(target: ProbeTarget, timeoutMilliseconds: number): Promise<boolean> {
    return this.#getConfiguration().targets.get(target.name)?.backend.kind === 'engine'
      ? probeEngine(target.address, timeoutMilliseconds)
      : probeService(target.address, timeoutMilliseconds);
  }
}
