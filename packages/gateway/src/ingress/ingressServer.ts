import 'reflect-metadata';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { NestFactory } from '@nestjs/core';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import { IngressModule } from './ingressModule';
import { OpenConnections } from './openConnections';
import type { RequestHandler } from './requestHandler';

/** Bound of the parser; the configuration's own bound on headers lies below. */
const MAXIMUM_HEADER_BYTES = 64 * 1024;

/** In force until the first configuration names its own. */
const DEFAULT_IDLE_MILLISECONDS = 15_000;

/** Options of {@link IngressServer.start}. */
export interface IngressServerOptions {
  readonly host: string;
  /** TCP port; 0 lets the system choose. */
  readonly port: number;
  readonly handle: RequestHandler;
}

/** Bounds on connections that a configuration may change. */
export interface ConnectionTimeouts {
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** Listens for HTTP requests and hands each one on as it came: raw path, headers and body. */
export class IngressServer {
  readonly #application: NestFastifyApplication;

  readonly #connections: OpenConnections;

  private constructor(application: NestFastifyApplication, connections: OpenConnections) {
    this.#application = application;
    this.#connections = connections;
    const server = application.getHttpServer();
    server.on('connection', (socket: Socket) => this.#connections.add(socket));
    // Before the framework's own listener, which hands the request on some ticks later.
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) =>
      this.#connections.begin(request, response),
    );
    // The runtime's own sweep, which its close() runs too, takes a connection for idle as soon as
    // its answer is written, though bytes of it may wait in this process for a slow reader.
    server.closeIdleConnections = () => this.#connections.closeIdle();
  }

  /** Starts to listen; rejects when the port is taken. */
  static async start({ host, port, handle }: IngressServerOptions): Promise<IngressServer> {
    const adapter = new FastifyAdapter({
      // Paths pass through undecoded, so the router must not look at them.
      rewriteUrl: () => '/',
      keepAliveTimeout: DEFAULT_IDLE_MILLISECONDS,
      requestTimeout: 0,
      return503OnClosing: false,
      http: { maxHeaderSize: MAXIMUM_HEADER_BYTES },
    });
    const connections = new OpenConnections();
    const handlePending: RequestHandler = async (request, response) => {
      if (connections.isPending(response)) await handle(request, response);
    };
    const application = await NestFactory.create<NestFastifyApplication>(
      IngressModule.forHandler(handlePending),
      adapter,
      { bodyParser: false, logger: false, abortOnError: false },
    );
    const fastify = adapter.getInstance();
    fastify.removeAllContentTypeParsers();
    fastify.addContentTypeParser('*', (_request, _payload, done) => done(null));
    const server = new IngressServer(application, connections);
    await application.listen(port, host);
    return server;
  }

  /** TCP port on which the server listens. */
  get port(): number {
    const address = this.#application.getHttpServer().address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Connections of callers that are open. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Requests whose answers have not left this process whole. */
  get openRequests(): number {
    return this.#connections.openRequests;
  }

  /** Makes an answer the last of its connection; returns false where others wait behind it. */
  closeAfter(response: ServerResponse): boolean {
    return this.#connections.closeConnectionAfter(response);
  }

  /** Puts bounds on connections in force. */
  setTimes({ headerTimeoutMilliseconds, idleTimeoutMilliseconds }: ConnectionTimeouts): void {
    const server = this.#application.getHttpServer();
    server.headersTimeout = headerTimeoutMilliseconds;
    server.keepAliveTimeout = idleTimeoutMilliseconds;
  }

  /** Stops listening, so that new connections are refused; open ones stay. */
  stopAccepting(): void {
    const server = this.#application.getHttpServer();
    if (server.listening) server.close();
  }

  /** Closes connections that have served a request and wait for the next one. */
  closeIdleConnections(): void {
    this.#connections.closeIdle();
  }

  /** Stops listening and closes all connections, within this turn of the event loop. */
  closeNow(): void {
    this.stopAccepting();
    this.#application.getHttpServer().closeAllConnections();
  }

  /** Stops listening and closes all connections; resolves when the server has ended. */
  async stop(): Promise<void> {
    this.closeNow();
    await this.#application.close();
  }
}
