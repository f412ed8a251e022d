import type { FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';
import { StandInServer } from '../util/standInServer';
import { PlatformStoreState } from './platformStoreState';

const STATUS_FORBIDDEN = 403;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 412;

/** Items on one page of a range; the platform's page names about this many. */
const PAGE_ITEMS = 500;

/** Keys that only operators and targets write. */
const TARGET_PREFIX = 'servers/';
const FOREIGN_PREFIXES = ['op/', TARGET_PREFIX];

const keyQuerySchema = z.object({ key: z.string() });
const rangeQuerySchema = z.object({ pathPrefix: z.string(), after: z.string().default('') });
const watchQuerySchema = z.object({
  pathPrefix: z.string(),
  after: z.coerce.number().int(),
  waitMs: z.coerce.number().int().min(0).max(30_000),
});
const transactionSchema = z.object({
  expectedRevision: z.array(z.object({ key: z.string(), revision: z.number().int() })).default([]),
  puts: z
    .array(z.object({ key: z.string(), value: z.base64(), lease: z.number().int().default(0) }))
    .default([]),
  deletes: z.array(z.string()).default([]),
});
const leaseSchema = z.object({ ttlMs: z.number().positive() });
const leaseParametersSchema = z.object({ lease: z.coerce.number().int() });

/** What the entry of a target says. */
export interface AnnouncedTarget {
  readonly id: string;
  readonly service: string;
  readonly port: number;
  readonly slots: number;
  readonly availabilityZone: string;
  readonly isLeaving: boolean;
}

/** The platform's store, in memory and without faults: reads, watches, transactions and leases. */
export class PlatformStoreStandIn {
  readonly server = new StandInServer();

  readonly state = new PlatformStoreState();

  constructor() {
    const { application } = this.server;
    application.get('/limpetnotch/kv-key', (request, reply) => this.#read(request, reply));
    application.get('/limpetnotch/kv-range', async (request) => this.#range(request));
    application.get('/limpetnotch/kv-watch', (request) => this.#watch(request));
    application.post('/limpetnotch/kv-txn', (request, reply) => this.#transact(request, reply));
    application.post('/limpetnotch/kv-lease', async (request) => {
      const { ttlMs } = leaseSchema.parse(request.body);
      return { lease: this.state.grant(ttlMs), ttlMs };
    });
    application.post('/limpetnotch/kv-keep/:lease', async (request, reply) => {
      const ttlMs = this.state.keep(leaseParametersSchema.parse(request.params).lease);
      return ttlMs === undefined ? reply.code(STATUS_NOT_FOUND).send({}) : { ttlMs };
    });
    application.delete('/limpetnotch/kv-lease-end/:lease', async (request, reply) => {
      const wasHeld = this.state.end(leaseParametersSchema.parse(request.params).lease);
      return wasHeld ? {} : reply.code(STATUS_NOT_FOUND).send({});
    });
  }

  /** Writes a value as the operator or a target would; returns the revision. */
  put(key: string, value: object): number {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    return this.state.write([{ key, value: text, lease: 0 }], []);
  }

  /** Puts a configuration in force, as the operator does. */
  configure(configuration: object): void {
    this.put('op/config', configuration);
  }

  /** Writes what a target says of itself. */
  announceTarget(target: AnnouncedTarget): void {
    const { id, service, port, slots, availabilityZone, isLeaving } = target;
    this.put(`${TARGET_PREFIX}${id}`, {
      service,
      address: `127.0.0.1:${port}`,
      zone: availabilityZone,
      version: 1,
      slots,
      state: isLeaving ? 'draining' : 'ready',
      coldRemainingMs: 0,
      seq: 1,
    });
  }

  /** Removes a target's entry, as the platform does when it has left or is missed. */
  withdrawTarget(id: string): void {
    this.state.write([], [`${TARGET_PREFIX}${id}`]);
  }

  async #read(request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    const item = this.state.read(keyQuerySchema.parse(request.query).key);
    return item ? { ...item, at: this.state.revision } : reply.code(STATUS_NOT_FOUND).send({});
  }

  #range(request: FastifyRequest): object {
    const { pathPrefix, after } = rangeQuerySchema.parse(request.query);
    const items = this.state.range(pathPrefix, after);
    const hasMore = items.length > PAGE_ITEMS;
    return { items: items.slice(0, PAGE_ITEMS), hasMore, at: this.state.revision };
  }

  async #watch(request: FastifyRequest): Promise<object> {
    const { pathPrefix, after, waitMs } = watchQuerySchema.parse(request.query);
    await this.#untilChanged(pathPrefix, after, waitMs, request);
    return { events: this.state.eventsAfter(pathPrefix, after), at: this.state.revision };
  }

  /** Resolves when there is a change to tell, the time is over, or the caller has left. */
  #untilChanged(
    prefix: string,
    after: number,
    waitMs: number,
    { raw }: FastifyRequest,
  ): Promise<void> {
    if (this.state.eventsAfter(prefix, after).length > 0) return Promise.resolve();
    return new Promise((resolve) => {
      let stopListening = (): void => undefined;
      const finish = (): void => {
        stopListening();
        raw.socket.removeListener('close', finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      const stop = this.state.onChange(() => {
        if (this.state.eventsAfter(prefix, after).length > 0) finish();
      });
      stopListening = () => {
        clearTimeout(timer);
        stop();
      };
      raw.socket.once('close', finish);
    });
  }

  async #transact(request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    const { expectedRevision, puts, deletes } = transactionSchema.parse(request.body);
    const keys = [...puts.map(({ key }) => key), ...deletes];
    const isForeign = (key: string): boolean =>
      FOREIGN_PREFIXES.some((prefix) => key.startsWith(prefix));
    if (keys.some(isForeign)) return reply.code(STATUS_FORBIDDEN).send({});
    const hasLapsed = puts.some(({ lease }) => lease !== 0 && !this.state.hasLease(lease));
    if (hasLapsed) return reply.code(STATUS_NOT_FOUND).send({});
    const current = expectedRevision.map(({ key }) => this.state.read(key) ?? { key, revision: 0 });
    const isAsExpected = expectedRevision.every(
      ({ revision }, index) => current[index]?.revision === revision,
    );
    if (!isAsExpected) return reply.code(STATUS_CONFLICT).send({ items: current });
    return { revision: this.state.write(puts, deletes) };
  }
}
