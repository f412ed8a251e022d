import 'reflect-metadata';
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { NestFactory } from '@nestjs/core';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import type { ConnectionGuard } from './connectionGuard';
import { createClientErrorResponder } from './createClientErrorResponder';
import { freeHead } from './freeHead';
import { IngressModule } from './ingressModule';
import type { IngressObserver } from './ingressObserver';
import { OpenConnections } from './openConnections';
import type { RequestHandler } from './requestHandler';

/** Limit of the HTTP parser; the configured limit on headers is lower. */
const MAXIMUM_HEADER_BYTES = 64 * 1024;

/** Applies until the first configuration is loaded. */
const DEFAULT_IDLE_MILLISECONDS = 15_000;

/** Options of {@link IngressServer.start}. */
export interface IngressServerOptions {
  readonly host: string;
  /** TCP port; 0 lets the operating system choose one. */
  readonly port: number;
  readonly handle: RequestHandler;
  readonly observer?: IngressObserver;
  /** Bounds what callers hold. */
  readonly guard?: ConnectionGuard;
  /** Refuses a request before the framework sees it; returns whether it did. */
  readonly refuse?: (request: IncomingMessage, response: ServerResponse) => boolean;
}

/** Timeouts of connections, which a configuration may change. */
export interface ConnectionTimeouts {
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** Listens for HTTP requests and passes each one on unchanged: raw path, headers and body. */
export class IngressServer {
  readonly #application: NestFastifyApplication;

  readonly #connections: OpenConnections;

  private constructor(
    application: NestFastifyApplication,
    connections: OpenConnections,
    guard: ConnectionGuard | undefined,
  ) {
    this.#application = application;
    this.#connections = connections;
    const server = application.getHttpServer();
    server.on('connection', (socket: Socket) => this.#connections.add(socket));
    // Runs before the framework's own listener, which passes the request on some ticks later.
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
      if (!guard?.isIgnored(request)) this.#connections.begin(request, response);
    });
    // Node's own closeIdleConnections(), which close() also calls, considers a connection idle as
    // soon as its response is written, even if bytes are still buffered here for a slow reader.
    server.closeIdleConnections = () => this.#connections.closeIdle();
  }

  /** Starts listening; rejects if the port is in use. */
  static async start({
    host,
    port,
    handle,
    observer,
    guard,
    refuse,
  }: IngressServerOptions): Promise<IngressServer> {
    const connections = new OpenConnections(observer);
    const adapter = new FastifyAdapter({
      clientErrorHandler: createClientErrorResponder(connections),
      // Paths are passed on undecoded, so the router must not parse them.
      rewriteUrl: () => '/',
      return503OnClosing: false,
      serverFactory: (serve: RequestListener) => {
        const server = createServer(
          { maxHeaderSize: MAXIMUM_HEADER_BYTES },
          (request, response) => {
            if (guard && !guard.admit(request, response)) return;
            if (!refuse?.(request, response)) serve(request, response);
          },
        );
        server.keepAliveTimeout = DEFAULT_IDLE_MILLISECONDS;
        server.requestTimeout = 0;
        guard?.attach(server);
        return server;
      },
    });
    const handlePending: RequestHandler = async (request, response) => {
      if (!connections.isPending(response) || response.writableEnded) return;
      connections.recordHandled(response);
      guard?.recordHandled(response);
      await handle(request, response);
      if (guard) freeHead(request);
    };
    const application = await NestFactory.create<NestFastifyApplication>(
      IngressModule.forHandler(handlePending),
      adapter,
      { bodyParser: false, logger: false, abortOnError: false },
    );
    const fastify = adapter.getInstance();
    fastify.removeAllContentTypeParsers();
    fastify.addContentTypeParser('*', (_request, _payload, done) => done(null));
    const server = new IngressServer(application, connections, guard);
    await application.listen(port, host);
    return server;
  }

  /** TCP port on which the server listens. */
  get port(): number {
    const address = this.#application.getHttpServer().address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /** Number of open connections of callers. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Number of requests whose responses have not completely left this process. */
  get openRequests(): number {
    return this.#connections.openRequests;
  }

  /** Makes a response the last of its connection; returns false if others are queued behind it. */
  closeConnectionAfter(response: ServerResponse): boolean {
    return this.#connections.closeConnectionAfter(response);
  }

  /** Applies the timeouts of connections. */
  setTimeouts({ headerTimeoutMilliseconds, idleTimeoutMilliseconds }: ConnectionTimeouts): void {
    const server = this.#application.getHttpServer();
    server.headersTimeout = headerTimeoutMilliseconds;
    server.keepAliveTimeout = idleTimeoutMilliseconds;
  }

  /** Stops listening, so that new connections are refused; open ones stay open. */
  stopAccepting(): void {
    const server = this.#application.getHttpServer();
    if (server.listening) server.close();
  }

  /** Closes connections that have served a request and are waiting for the next one. */
  closeIdleConnections(): void {
    this.#connections.closeIdle();
  }

  /** Stops listening and closes all connections within this turn of the event loop. */
  closeNow(): void {
    this.stopAccepting();
    this.#application.getHttpServer().closeAllConnections();
  }

  /** Stops listening and closes all connections; resolves when the server has shut down. */
  async stop(): Promise<void> {
    this.closeNow();
    await this.#application.close();
  }
}
