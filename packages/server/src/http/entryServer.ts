import 'reflect-metadata';
import type { DynamicModule } from '@nestjs/common';
import { Module } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import type { NestFastifyApplication } from '@nestjs/platform-fastify';
import { FastifyAdapter } from '@nestjs/platform-fastify';
import type { Admission } from '../entry/admittedCall';
import type { CallDesk } from '../entry/callDesk';
import type { ProgramRequests } from '../entry/programRequests';
import { CallController } from './callController';
import { HealthController } from './healthController';
import { OperatorController } from './operatorController';
import type { OperatorDesk } from './operatorDesk';
import { ProblemFilter, problemOfError, sendProblem } from './problemFilter';
import { ProgramController } from './programController';
import type { Readiness } from './readiness';
import { ADMISSION, CALL_DESK, OPERATOR_DESK, PROGRAM_REQUESTS, READINESS } from './tokens';

const MAXIMUM_HEADER_BYTES = 16 * 1024;
const CONNECTION_TIMEOUT_MILLISECONDS = 0;
const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
const KEEP_ALIVE_MILLISECONDS = 65_000;

/** Options of {@link EntryServer.start}. */
export interface EntryServerOptions {
  readonly host: string;
  /** TCP port; 0 lets the system choose. */
  readonly port: number;
  readonly maximumBodyBytes: number;
  readonly calls: CallDesk;
  readonly programs: ProgramRequests;
  readonly admission: Admission;
  readonly readiness: Readiness;
  readonly operator: OperatorDesk;
}

@Module({})
class EntryModule {
  static with(options: EntryServerOptions): DynamicModule {
    return {
      module: EntryModule,
      controllers: [HealthController, OperatorController, ProgramController, CallController],
      providers: [
        { provide: CALL_DESK, useValue: options.calls },
        { provide: PROGRAM_REQUESTS, useValue: options.programs },
        { provide: ADMISSION, useValue: options.admission },
        { provide: READINESS, useValue: options.readiness },
        { provide: OPERATOR_DESK, useValue: options.operator },
      ],
    };
  }
}

/** The HTTP side of an instance, for callers, operators and probes. */
export class EntryServer {
  readonly #application: NestFastifyApplication;

  private constructor(application: NestFastifyApplication) {
    this.#application = application;
  }

  /** Starts to listen; rejects when the port is taken. */
  static async start(options: EntryServerOptions): Promise<EntryServer> {
    const adapter = new FastifyAdapter({
      bodyLimit: options.maximumBodyBytes,
      connectionTimeout: CONNECTION_TIMEOUT_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
      http: { maxHeaderSize: MAXIMUM_HEADER_BYTES },
    });
    const application = await NestFactory.create<NestFastifyApplication>(
      EntryModule.with(options),
      adapter,
      { bodyParser: false, logger: false, abortOnError: false },
    );
    EntryServer.#readBodiesRaw(application);
    application.useGlobalFilters(new ProblemFilter());
    await application.listen(options.port, options.host);
    return new EntryServer(application);
  }

  /** Stops listening and resolves when every request under way has its answer. */
  async stop(): Promise<void> {
    await this.#application.close();
  }

  /** Bodies pass through as they came; those that cannot be read get a problem document. */
  static #readBodiesRaw(application: NestFastifyApplication): void {
    const fastify = application.getHttpAdapter().getInstance();
    fastify.removeAllContentTypeParsers();
    fastify.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => {
      done(null, body);
    });
    fastify.setErrorHandler(async (error, _request, reply) => {
      await sendProblem(reply, problemOfError(error));
    });
  }
}
