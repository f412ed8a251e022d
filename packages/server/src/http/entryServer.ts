import 'reflect-metadata';
import type { ServerResponse } from 'node:http';
import { NestFactory } from '@nestjs/core';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import { EntryConnections } from './entryConnections';
import { EntryModule } from './entryModule';
import type { EntryParts } from './entryModule';
import { ProblemFilter } from './problemFilter';
import { refuseArriving } from './refuseArriving';

const MAXIMUM_HEADER_BYTES = 16 * 1024;
const CONNECTION_TIMEOUT_MILLISECONDS = 0;
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
const KEEP_ALIVE_MILLISECONDS = 65_000;
const IDLE_SWEEP_MILLISECONDS = 50;

/** A request that is on its way when the listener closes arrives within some round trips. */
const ARRIVAL_MILLISECONDS = 1_000;

/** Once or twice as long has an answer to leave at the stop: 1 MB takes 8 seconds at 1 Mbit/s. */
const LEAVING_MILLISECONDS = 10_000;

/** Options of {@link EntryServer.start}. */
export interface EntryServerOptions extends EntryParts {
  readonly host: string;
  /** TCP port; 0 lets the system choose. */
  readonly port: number;
  readonly maximumBodyBytes: number;
}

/** The HTTP side of an instance, for callers, operators and probes. */
export class EntryServer {
  readonly #application: NestFastifyApplication;

  readonly #connections: EntryConnections;

  private constructor(application: NestFastifyApplication) {
    this.#application = application;
    const server = application.getHttpServer();
    this.#connections = new EntryConnections(server);
    // The runtime's own sweep, which its close() runs too, takes a connection for idle as soon as
    // its answer is written, though bytes of it may wait in this process for a slow reader.
    server.closeIdleConnections = () => this.#connections.closeIdle();
  }

  /** Starts to listen; rejects when the port is taken. */
  static async start(options: EntryServerOptions): Promise<EntryServer> {
    const adapter = new FastifyAdapter({
      bodyLimit: options.maximumBodyBytes,
      connectionTimeout: CONNECTION_TIMEOUT_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      // Requests on open connections are still served while the listener closes.
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
   * Stops listening and resolves when every request under way has its answer, or doesn't read it. The runtime enforces
   * no more timeouts once the listener is closed, so that connections on which no whole request
   * arrives are ended here.
   */
  async stop(): Promise<void> {
    // Connections that fall idle after the close would stay open for their keep-alive time.
    const sweep = setInterval(() => this.#connections.closeIdle(), IDLE_SWEEP_MILLISECONDS);
    const end = setInterval(() => this.#endArriving(), ARRIVAL_MILLISECONDS);
    const leaving = new WeakSet<ServerResponse>();
    const cut = setInterval(() => this.#cutUnread(leaving), LEAVING_MILLISECONDS);
    try {
      await this.#application.close();
    } finally {
      clearInterval(sweep);
      clearInterval(end);
      clearInterval(cut);
    }
  }

  #endArriving(): void {
    this.#connections.arriving.forEach(refuseArriving);
    this.#connections.closeUnused();
  }

  /** Ends answers that were leaving at the last look, too: their callers don't read them. */
  #cutUnread(before: WeakSet<ServerResponse>): void {
    this.#connections.leaving.forEach((response) => {
      if (before.has(response)) response.destroy();
      before.add(response);
    });
  }

  /** Bodies pass through as they came. */
  static #readBodiesRaw(application: NestFastifyApplication): void {
    const fastify = application.getHttpAdapter().getInstance();
    fastify.removeAllContentTypeParsers();
    fastify.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
      done(null, body);
    });
  }
}
