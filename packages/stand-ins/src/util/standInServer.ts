import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import type { FastifyInstance } from 'fastify';
import fastify from 'fastify';
import { z } from 'zod';

const HOST = '127.0.0.1';
const BODY_LIMIT_BYTES = 64 * 1_024 * 1_024;
const STATUS_BAD_REQUEST = 400;
const STATUS_INTERNAL_ERROR = 500;

/**
 * HTTP server of a stand-in with connection faults: it can stop listening, break all connections,
 * or make them unresponsive. It listens on 127.0.0.1 only.
 */
export class StandInServer {
  readonly application: FastifyInstance;

  readonly #sockets = new Set<Socket>();

  #port = 0;

  /** Servers on further ports, which connection faults do not affect. */
  readonly #furtherServers: Server[] = [];

  constructor() {
    this.application = fastify({ bodyLimit: BODY_LIMIT_BYTES, keepAliveTimeout: 0 });
    this.application.server.headersTimeout = 0;
    this.application.server.requestTimeout = 0;
    this.application.server.on('connection', (socket: Socket) => this.#track(socket));
    this.application.setErrorHandler((error, _request, reply) => {
      const status = error instanceof z.ZodError ? STATUS_BAD_REQUEST : STATUS_INTERNAL_ERROR;
      const message = error instanceof Error ? error.message : String(error);
      return reply.code(status).send({ error: message, message, code: 0 });
    });
  }

  get port(): number {
    return this.#port;
  }

  get address(): string {
    return `http://${HOST}:${this.#port}`;
  }

  /** Listens on a port, 0 for any free one; resolves to the port. */
  async start(port = 0): Promise<number> {
    await this.application.ready();
    await StandInServer.#listen(this.application.server, port);
    this.#port = StandInServer.#getPort(this.application.server);
    return this.#port;
  }

  /**
   * Serves the same paths on a further port that connection faults do not affect; resolves to the
   * port.
   */
  async startFurther(port = 0): Promise<number> {
    await this.application.ready();
    const server = createServer((request, response) => this.application.routing(request, response));
    this.#furtherServers.push(server);
    await StandInServer.#listen(server, port);
    return StandInServer.#getPort(server);
  }

  async stop(): Promise<void> {
    await this.refuse();
    this.#furtherServers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
    await this.application.close();
  }

  /** Stops listening, so that new connections are refused, and breaks the open ones. */
  async refuse(): Promise<void> {
    const { server } = this.application;
    const closed = server.listening
      ? new Promise<void>((resolve) => {
          server.close(() => resolve());
        })
      : Promise.resolve();
    this.breakConnections();
    await closed;
  }

  /** Listens again on the same port after {@link refuse}. */
  async accept(): Promise<void> {
    const { server } = this.application;
    if (!server.listening) await StandInServer.#listen(server, this.#port);
  }

  /** Breaks all open connections; new ones work. */
  breakConnections(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }

  /**
   * Permanently stops all bytes in both directions on every open connection but `except`, without
   * closing it; new ones work. Returns the number of connections.
   */
  silenceConnections(except?: Socket): number {
    const silenced = [...this.#sockets].filter((socket) => socket !== except);
    silenced.forEach((socket) => StandInServer.#silence(socket));
    return silenced.length;
  }

  static #silence(socket: Socket): void {
    const silent = socket;
    silent.pause();
    silent.resume = () => silent;
    silent.write = () => false;
    silent.end = () => silent;
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.once('close', () => this.#sockets.delete(socket));
  }

  static #listen(server: Server, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, HOST, () => {
        server.removeListener('error', reject);
        resolve();
      });
    });
  }

  static #getPort(server: Server): number {
    const address = server.address();
    if (address === null || typeof address === 'string') throw new Error('not listening on TCP');
    return address.port;
  }
}
