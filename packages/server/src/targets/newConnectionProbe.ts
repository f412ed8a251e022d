import { once } from 'node:events';
import { connect } from 'node:net';
import type { Configuration } from '@limpetnotch/declarations';
import type { ProbePort, ProbeTarget } from '@limpetnotch/scheduling';
import { Client } from 'undici';

const FIRST_FAILURE = 300;

const portOf = ({ port, protocol }: URL): number => {
  if (port !== '') return Number(port);
  return protocol === 'https:' ? 443 : 80;
};

const probeEngine = async (address: string, timeoutMilliseconds: number): Promise<boolean> => {
  const client = new Client(address, { connect: { timeout: timeoutMilliseconds } });
  try {
    const signal = AbortSignal.timeout(timeoutMilliseconds);
    const answer = await client.request({ path: '/v1/load', method: 'GET', signal });
    await answer.body.dump();
    return answer.statusCode < FIRST_FAILURE;
  } finally {
    await client.destroy();
  }
};

const probeService = async (address: string, timeoutMilliseconds: number): Promise<boolean> => {
  const url = new URL(address);
  const socket = connect({ host: url.hostname, port: portOf(url) });
  try {
    await once(socket, 'connect', { signal: AbortSignal.timeout(timeoutMilliseconds) });
    return true;
  } finally {
    socket.destroy();
  }
};

/** Probes targets on new connections: an engine by its load, a plain service by the connection. */
export class NewConnectionProbe implements ProbePort {
  readonly #configuration: () => Configuration;

  constructor(configuration: () => Configuration) {
    this.#configuration = configuration;
  }

  async probe(target: ProbeTarget, timeoutMilliseconds: number): Promise<boolean> {
    return this.#configuration().targets.get(target.name)?.backend.kind === 'engine'
      ? probeEngine(target.address, timeoutMilliseconds)
      : probeService(target.address, timeoutMilliseconds);
  }
}
