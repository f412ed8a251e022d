import type { FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';
import { addControlPaths, CONTROL_PATHS } from '../util/addControlPaths';
import { Gate } from '../util/gate';
import { RequestRecorder } from '../util/requestRecorder';
import { StandInServer } from '../util/standInServer';
import { waitMilliseconds } from '../util/waitMilliseconds';
import type { ChatRequest } from './chatRequest';
import { chatRequestSchema } from './chatRequest';
import { createCompletionSink } from './completionResponse';
import type { EngineOrder } from './engineOrders';
import { FencingNumbers, orderRequestSchema, getOrderSubject } from './engineOrders';
import type { EngineOptions, EngineSettings, EngineSettingsChange } from './engineSettings';
import {
  DEFAULT_ENGINE_SETTINGS,
  engineSettingsChangeSchema,
  engineSettingsSchema,
} from './engineSettings';
import type { EngineStatistics } from './engineStatistics';
import { ModelEngine } from './modelEngine';

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_SERVICE_UNAVAILABLE = 503;

/** Statuses of requests that another engine may serve. */
const RETRYABLE_STATUSES = new Set([STATUS_TOO_MANY_REQUESTS, STATUS_SERVICE_UNAVAILABLE]);

const eventsQuerySchema = z.object({ after: z.coerce.number().int().min(0).default(0) });

/** Response to a request that is refused before it is queued. */
interface Refusal {
  readonly status: number;
  readonly error: string;
}

/** Stand-in of a model engine, over HTTP. */
export class EngineStandIn {
  readonly server = new StandInServer();

  /** Holds chat requests before they are queued. */
  readonly requestsBefore = new Gate<ChatRequest>();

  readonly recorder = new RequestRecorder(() => this.#settings.markers);

  readonly #engine: ModelEngine;

  readonly #fencing = new FencingNumbers();

  readonly #receivedRequestIds = new Set<string>();

  readonly #appliedOrders: EngineOrder[] = [];

  #settings: EngineSettings;

  #arrivals = 0;

  constructor(settings: EngineOptions = {}) {
    this.#settings = engineSettingsSchema.parse({ ...DEFAULT_ENGINE_SETTINGS, ...settings });
    this.#engine = new ModelEngine({
      settings: () => this.#settings,
      onCrashed: () => {
        void this.#restart();
      },
    });
    this.#addRoutes();
  }

  /** Listens on a port of 127.0.0.1, 0 for any free one; resolves to the port. */
  start(port = 0): Promise<number> {
    return this.server.start(port);
  }

  async stop(): Promise<void> {
    this.#engine.stop();
    await this.server.stop();
  }

  /**
   * Changes the given settings and runs the given actions; resolves to the settings now in force.
   */
  async setFaults(change: EngineSettingsChange): Promise<EngineSettings> {
    const parsed = engineSettingsChangeSchema.parse(change);
    const { silenceConnections, breakConnections, crashNow, ...settings } = parsed;
    this.#settings = engineSettingsSchema.parse({ ...this.#settings, ...settings });
    if (silenceConnections) this.server.silenceConnections();
    if (breakConnections) this.server.breakConnections();
    if (crashNow) this.#engine.crash();
    return this.#settings;
  }

  statistics(): EngineStatistics & { readonly received: number; readonly sightings: number } {
    const { received, sightings } = this.recorder;
    return { ...this.#engine.statistics(), received, sightings };
  }

  #addRoutes(): void {
    const { application } = this.server;
    this.recorder.attach(application, CONTROL_PATHS);
    application.post('/v1/chat/completions', async (request, reply) =>
      this.#complete(request, reply),
    );
    application.get('/v1/load', async () => this.#reportLoad());
    application.get('/v1/cache/events', async (request) => this.#reportCacheEvents(request));
    application.get('/v1/sessions', async () => ({ sessions: this.#engine.sessions() }));
    application.get('/v1/models', async () => ({
      data: this.#settings.models.map((model) => ({ id: model })),
    }));
    application.get('/health', async (_request, reply) =>
      reply.code(this.#settings.unavailable ? STATUS_SERVICE_UNAVAILABLE : STATUS_OK).send({}),
    );
    application.post('/v1/orders', async (request, reply) => this.#handleOrder(request, reply));
    addControlPaths(this.server, {
      setFaults: (change) => this.setFaults(engineSettingsChangeSchema.parse(change)),
      statistics: () => this.statistics(),
      lists: {
        '/requests': () => this.recorder.requests,
        '/orders': () => this.#appliedOrders,
      },
    });
  }

  async #complete(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const chat = chatRequestSchema.parse(request.body);
    await this.requestsBefore.pass(chat);
    const refusal = this.#checkRefusal(chat);
    if (refusal) return EngineStandIn.#sendRefusal(reply, refusal);
    this.#arrivals += 1;
    const header = request.headers['x-request-id'];
    const identifier = typeof header === 'string' ? header : `request-${this.#arrivals}`;
    this.#receivedRequestIds.add(identifier);
    reply.hijack();
    const { raw: response } = reply;
    // The caller may have disconnected while the gate held the request.
    if (response.destroyed) return reply;
    const cancel = this.#engine.generate(
      chat,
      createCompletionSink({ identifier, chat, response }),
    );
    response.once('close', () => {
      if (!response.writableFinished) cancel();
    });
    return reply;
  }

  static #sendRefusal(reply: FastifyReply, { status, error }: Refusal): FastifyReply {
    if (RETRYABLE_STATUSES.has(status)) reply.header('limpetnotch-executed', 'no');
    return reply.code(status).send({ error });
  }

  #checkRefusal(chat: ChatRequest): Refusal | undefined {
    const { unavailable, models, maximumQueued, resume } = this.#settings;
    if (unavailable) return { status: STATUS_SERVICE_UNAVAILABLE, error: 'unavailable' };
    if (!models.includes(chat.model)) {
      return { status: STATUS_NOT_FOUND, error: 'model-not-loaded' };
    }
    if (this.#engine.queuedCount >= maximumQueued) {
      return { status: STATUS_TOO_MANY_REQUESTS, error: 'queue-full' };
    }
    if (chat.resume === undefined || resume === 'any') return undefined;
    if (resume === 'none') return { status: STATUS_BAD_REQUEST, error: 'resume-unsupported' };
    if (this.#receivedRequestIds.has(chat.resume.request_id)) return undefined;
    return { status: STATUS_CONFLICT, error: 'resume-not-found' };
  }

  #reportLoad(): object {
    const { running, queued, queuedTokens, cacheTokens } = this.#engine.load();
    return {
      running,
      queued,
      queued_tokens: queuedTokens,
      cache_tokens: cacheTokens,
      age_milliseconds: this.#settings.loadLagMilliseconds,
    };
  }

  #reportCacheEvents(request: FastifyRequest): object {
    const { after } = eventsQuerySchema.parse(request.query);
    const events = this.#engine.cacheEvents(after);
    return { events, next: events.at(-1)?.sequence ?? after };
  }

  async #handleOrder(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const order = orderRequestSchema.parse(request.body);
    const { fencing, fencingScope } = this.#settings;
    const scope = fencingScope === 'engine' ? 'engine' : getOrderSubject(order.order);
    const newest = this.#fencing.record(scope, order.fencing_number);
    if (fencing === 'obeyed' && order.fencing_number < newest) {
      return reply.code(STATUS_CONFLICT).send({ error: 'stale-fencing-number', newest });
    }
    await this.#applyOrder(order.order);
    this.#appliedOrders.push(order.order);
    return reply.send({ applied: true });
  }

  async #applyOrder(order: EngineOrder): Promise<void> {
    switch (order.kind) {
      case 'free-session':
        this.#engine.freeSession(order.session_id);
        return;
      case 'load-model':
        await waitMilliseconds(this.#settings.modelLoadMilliseconds);
        this.#settings = {
          ...this.#settings,
          models: [...new Set([...this.#settings.models, order.model])],
        };
        return;
      case 'set-role':
        return;
      default:
        order satisfies never;
    }
  }

  async #restart(): Promise<void> {
    if (this.#settings.crash === 'exit') process.kill(process.pid, 'SIGKILL');
    await this.server.refuse();
    await waitMilliseconds(this.#settings.restartMilliseconds);
    await this.server.accept();
  }
}
