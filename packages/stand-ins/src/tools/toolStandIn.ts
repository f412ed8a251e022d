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

/** One effect of a tool. */
export interface ToolExecution {
  /** Number of the effect, from 1 on. */
  readonly execution: number;
  readonly method: string;
  readonly path: string;
  readonly body: unknown;
  readonly idempotencyKey: string | undefined;
  readonly atMilliseconds: number;
}

/** Stand-in of a tool service or a plain service: any call has an effect, which is recorded. */
export class ToolStandIn {
  readonly server = new StandInServer();

  readonly recorder = new RequestRecorder(() => this.#faults.markers);

  readonly executions: ToolExecution[] = [];

  /** Holds calls before they have their effect. */
  readonly callsBefore = new Gate<FastifyRequest>();

  /** Holds calls after they had their effect and before they are answered. */
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

  /** Starts on a port of 127.0.0.1, any free one where it is 0; resolves to the port. */
  start(port = 0): Promise<number> {
    return this.server.start(port);
  }

  stop(): Promise<void> {
    return this.server.stop();
  }

  /** Changes the faults that are named and carries out the actions. */
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
    if (this.#take('failBefore')) {
      return reply.code(STATUS_SERVICE_UNAVAILABLE).send({ error: 'unavailable' });
    }
    await this.callsBefore.pass(request);
    const execution = this.#record(request);
    await this.callsAfter.pass(request);
    const isHung = this.#take('hang');
    const isBroken = this.#take('failAfter');
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

  #record(request: FastifyRequest): ToolExecution {
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

  #take(kind: 'failBefore' | 'failAfter' | 'hang'): boolean {
    const left = this.#faults[kind];
    if (left === 0) return false;
    this.#faults = { ...this.#faults, [kind]: left - 1 };
    return true;
  }
}
