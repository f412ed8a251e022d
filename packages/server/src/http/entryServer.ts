import 'reflect-metadata';
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { NestFactory } from '@nestjs/core';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import { EntryConnections } from './entryConnections';
import { EntryModule } from './entryModule';
import type { EntryServices } from './entryModule';
import { ProblemFilter } from './problemFilter';
import { refuseIncompleteRequest } from './refuseIncompleteRequest';

const MAXIMUM_HEADER_BYTES = 16 * 1024;
const CONNECTION_TIMEOUT_MILLISECONDS = 0;
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
const KEEP_ALIVE_MILLISECONDS = 65_000;
const IDLE_SWEEP_MILLISECONDS = 50;

/** A request that is in transit when the listener closes arrives within a few round trips. */
const INCOMPLETE_REQUEST_SWEEP_MILLISECONDS = 1_000;

/**
 * A response has one to two intervals to be read during the stop: 1 MB takes 8 seconds at 1 Mbit/s.
 */
const UNREAD_RESPONSE_SWEEP_MILLISECONDS = 10_000;

/** Options of {@link EntryServer.start}. */
export interface EntryServerOptions extends EntryServices {
  readonly host: string;
  /** TCP port; 0 lets the system choose. */
  readonly port: number;
  readonly maximumBodyBytes: number;
}

/** HTTP listener of an instance, for callers, operators and probes. */
export class EntryServer {
  readonly #application: NestFastifyApplication;

  readonly #connections: EntryConnections;

  private constructor(application: NestFastifyApplication) {
    this.#application = application;
    const server = application.getHttpServer();
    this.#connections = new EntryConnections(server);
    // The sweep of Node.js, which close() also runs, considers a connection idle as soon as its
    // response is written, although bytes may still be buffered in this process for a slow reader.
    server.closeIdleConnections = () => this.#connections.closeIdle();
    // Runs before the framework's listener, whose response the caller would take for that to the
    // call in progress. A closed connection does not tell whether the call was executed.
    server.prependListener('clientError', (_error: Error, socket: Socket) => {
      if (this.#connections.hasCompleteRequest(socket)) socket.destroy();
    });
  }

  /** Starts listening; rejects if the port is in use. */
  static async start(options: EntryServerOptions): Promise<EntryServer> {
    const adapter = new FastifyAdapter({
      bodyLimit: options.maximumBodyBytes,
      connectionTimeout: CONNECTION_TIMEOUT_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      // Requests on open connections are still served while the listener is closing.
      return503OnClosing: false,
      http: { maxHeaderSize: MAXIMUM_HEADER_BYTES },
    });
    const application = await NestFactory.create<NestFastifyApplication>(
      EntryModule.with(options),
      adapter,
      { bodyParser: false, logger: false, abortOnError: false },
    );
    EntryServer.#readBodiesRaw(application);
    application.useGlobalFilters(new ProblemFilter());
    const server = new EntryServer(application);
    await application.listen(options.port, options.host);
    return server;
  }

  /** TCP port on which the server listens. */
  get port(): number {
    const address = this.#application.getHttpServer().address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  /**
   * Stops listening and resolves when every request in progress has its response or its caller has
   * stopped reading. Node.js no longer enforces timeouts once the listener is closed, so
   * connections on which no complete request arrives are closed here.
   */
  async stop(): Promise<void> {
    // Connections that become idle after the close would stay open for their keep-alive time.
    const idleSweep = setInterval(() => this.#connections.closeIdle(), IDLE_SWEEP_MILLISECONDS);
    const incompleteSweep = setInterval(
      () => this.#refuseIncompleteRequests(),
      INCOMPLETE_REQUEST_SWEEP_MILLISECONDS,
    );
    const seenBefore = new WeakSet<ServerResponse>();
    const unreadSweep = setInterval(
      () => this.#destroyUnreadResponses(seenBefore),
      UNREAD_RESPONSE_SWEEP_MILLISECONDS,
    );
    try {
      await this.#application.close();
    } finally {
      clearInterval(idleSweep);
      clearInterval(incompleteSweep);
      clearInterval(unreadSweep);
    }
  }

  #refuseIncompleteRequests(): void {
    this.#connections.responsesToIncompleteRequests.forEach(refuseIncompleteRequest);
    this.#connections.closeWithoutRequest();
  }

  /** Destroys responses that were already unread at the previous check. */
  #destroyUnreadResponses(seenBefore: WeakSet<ServerResponse>): void {
    this.#connections.endedResponses.forEach((response) => {
      if (seenBefore.has(response)) response.destroy();
      seenBefore.add(response);
    });
  }

  /** Passes bodies through unparsed. */
  static #readBodiesRaw(application: NestFastifyApplication): void {
    const fastify = application.getHttpAdapter().getInstance();
    fastify.removeAllContentTypeParsers();
    fastify.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
      done(null, body);
    });
  }
}
