import 'reflect-metadata';
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
    this.#connections = new EntryConnections(application.getHttpServer());
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
   * Stops listening and resolves when every request under way has its answer. The runtime enforces
   * no more timeouts once the listener is closed, so that connections on which no whole request
   * arrives are ended here.
   */
  async stop(): Promise<void> {
    const server = this.#application.getHttpServer();
    // Connections that fall idle after the close would stay open for their keep-alive time.
    const sweep = setInterval(() => server.closeIdleConnections(), IDLE_SWEEP_MILLISECONDS);
    const end = setInterval(() => this.#endArriving(), ARRIVAL_MILLISECONDS);
    try {
      await this.#application.close();
    } finally {
      clearInterval(sweep);
      clearInterval(end);
    }
  }

  #endArriving(): void {
    this.#connections.arriving.forEach(refuseArriving);
    this.#connections.closeUnused();
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
