import type { FastifyReply, FastifyRequest } from 'fastify';
import { addControlPaths, CONTROL_PATHS } from '../util/addControlPaths';
import { Gate } from '../util/gate';
import { RequestRecorder } from '../util/requestRecorder';
import { StandInServer } from '../util/standInServer';
import { waitMilliseconds } from '../util/waitMilliseconds';
import type { ToolFaults, ToolFaultsChange } from './toolFaults';
import { NO_TOOL_FAULTS, toolFaultsChangeSchema, toolFaultsSchema } from './toolFaults';

const STATUS_SERVICE_UNAVAILABLE = 503;
const IGNORED_PATHS = new Set([...CONTROL_PATHS, '/health']);

/** One execution of a call, which is its effect. */
export interface ToolExecution {
  /** Number of the execution, starting at 1. */
  readonly execution: number;
  readonly method: string;
  readonly path: string;
  readonly body: unknown;
  readonly idempotencyKey: string | undefined;
  readonly atMilliseconds: number;
}

/** Stand-in of a tool service or a plain service; records each call that takes effect. */
export class ToolStandIn {
  readonly server = new StandInServer();

  readonly recorder = new RequestRecorder(() => this.#faults.markers);

  readonly executions: ToolExecution[] = [];

  /** Holds calls before they take effect. */
  readonly callsBefore = new Gate<FastifyRequest>();

  /** Holds calls after they took effect and before the response is sent. */
  readonly callsAfter = new Gate<FastifyRequest>();

  #faults: ToolFaults = NO_TOOL_FAULTS;

  constructor() {
    const { application } = this.server;
    this.recorder.attach(application, IGNORED_PATHS);
    application.get('/health', async () => ({}));
    addControlPaths(this.server, {
      setFaults: (change) => this.setFaults(toolFaultsChangeSchema.parse(change)),
      statistics: () => this.statistics(),
      lists: { '/requests': () => this.recorder.requests, '/executions': () => this.executions },
    });
    application.all('/*', (request, reply) => this.#execute(request, reply));
  }

  /** Listens on a port of 127.0.0.1, 0 for any free one; resolves to the port. */
  start(port = 0): Promise<number> {
    return this.server.start(port);
  }

  stop(): Promise<void> {
    return this.server.stop();
  }

  /** Changes the given faults and runs the given actions; resolves to the faults now in force. */
  async setFaults(change: ToolFaultsChange): Promise<ToolFaults> {
    const parsed = toolFaultsChangeSchema.parse(change);
    const { silenceConnections, breakConnections, refuse, ...faults } = parsed;
    this.#faults = toolFaultsSchema.parse({ ...this.#faults, ...faults });
    if (silenceConnections) this.server.silenceConnections();
    if (breakConnections) this.server.breakConnections();
    if (refuse === true) await this.server.refuse();
    if (refuse === false) await this.server.accept();
    return this.#faults;
  }

  statistics(): { executions: number; received: number; sightings: number } {
    const { received, sightings } = this.recorder;
    return { executions: this.executions.length, received, sightings };
  }

  async #execute(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    if (this.#consumeFault('failBefore')) {
      return reply.code(STATUS_SERVICE_UNAVAILABLE).send({ error: 'unavailable' });
    }
    await this.callsBefore.pass(request);
    const execution = this.#recordExecution(request);
    await this.callsAfter.pass(request);
    const isHung = this.#consumeFault('hang');
    const isBroken = this.#consumeFault('failAfter');
    if (isHung || isBroken) reply.hijack();
    if (isHung) return reply;
    await waitMilliseconds(this.#faults.delayMilliseconds);
    if (isBroken) {
      reply.raw.destroy();
      return reply;
    }
    return reply.send({
      execution: execution.execution,
      path: execution.path,
      echo: execution.body ?? null,
      padding: 'x'.repeat(this.#faults.answerBytes),
    });
  }

  #recordExecution(request: FastifyRequest): ToolExecution {
    const key = request.headers['idempotency-key'];
    const execution: ToolExecution = {
      execution: this.executions.length + 1,
      method: request.method,
      path: request.url,
      body: request.body,
      idempotencyKey: typeof key === 'string' ? key : undefined,
      atMilliseconds: Date.now(),
    };
    this.executions.push(execution);
    return execution;
  }

  #consumeFault(kind: 'failBefore' | 'failAfter' | 'hang'): boolean {
    const remaining = this.#faults[kind];
    if (remaining === 0) return false;
    this.#faults = { ...this.#faults, [kind]: remaining - 1 };
    return true;
  }
}
