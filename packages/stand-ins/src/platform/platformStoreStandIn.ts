import type { FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';
import { StandInServer } from '../util/standInServer';
import { PlatformStoreState } from './platformStoreState';
import type { PlatformStoreEvent } from './platformStoreState';

const STATUS_FORBIDDEN = 403;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 412;

/** Maximum number of items on one page of a range; the platform documents about this many. */
const PAGE_ITEMS = 500;

const TARGET_PREFIX = 'servers/';
/** Prefixes of keys that only operators and targets write; instances may only read them. */
const READ_ONLY_PREFIXES = ['op/', TARGET_PREFIX];

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

/** A target as its entry in the store describes it. */
export interface AnnouncedTarget {
  readonly id: string;
  readonly service: string;
  readonly port: number;
  readonly slots: number;
  readonly availabilityZone: string;
  readonly isLeaving: boolean;
  /** Version of its software. */
  readonly version: string;
  /** Start, as Unix time in milliseconds; identifies the incarnation whatever its address is. */
  readonly bornMilliseconds: number;
}

/** Returns the address at which one reader of the store reaches a target. */
export type TargetAddressView = (address: string) => Promise<string>;

const announcementSchema = z.looseObject({ address: z.string() });

/**
 * Stand-in of the platform's store: reads, watches, transactions and leases, in memory. It injects
 * no faults.
 */
export class PlatformStoreStandIn {
  readonly server = new StandInServer();

  readonly state = new PlatformStoreState();

  /** Views of the readers that use a port of their own. */
  readonly #views = new Map<number, TargetAddressView>();

  constructor() {
    const { application } = this.server;
    application.get('/limpetnotch/kv-key', (request, reply) => this.#read(request, reply));
    application.get('/limpetnotch/kv-range', (request) => this.#range(request));
    application.get('/limpetnotch/kv-watch', (request) => this.#watch(request));
    application.post('/limpetnotch/kv-txn', (request, reply) =>
      this.#runTransaction(request, reply),
    );
    application.post('/limpetnotch/kv-lease', async (request) => {
      const { ttlMs } = leaseSchema.parse(request.body);
      return { lease: this.state.grantLease(ttlMs), ttlMs };
    });
    application.post('/limpetnotch/kv-keep/:lease', async (request, reply) => {
      const ttlMs = this.state.renewLease(leaseParametersSchema.parse(request.params).lease);
      return ttlMs === undefined ? reply.code(STATUS_NOT_FOUND).send({}) : { ttlMs };
    });
    application.delete('/limpetnotch/kv-lease-end/:lease', async (request, reply) => {
      const wasHeld = this.state.revokeLease(leaseParametersSchema.parse(request.params).lease);
      return wasHeld ? {} : reply.code(STATUS_NOT_FOUND).send({});
    });
  }

  /** Serves one reader on a port of its own, who sees other addresses of targets. */
  async addView(view: TargetAddressView): Promise<number> {
    const port = await this.server.startFurther();
    this.#views.set(port, view);
    return port;
  }

  /** Writes a value as an operator or a target would; returns the revision. */
  put(key: string, value: object): number {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    return this.state.write([{ key, value: text, lease: 0 }], []);
  }

  /** Writes the configuration, as an operator does. */
  configure(configuration: object): void {
    this.put('op/config', configuration);
  }

  /** Writes the entry of a target. */
  announceTarget(target: AnnouncedTarget): void {
    const { id, service, port, slots, availabilityZone, isLeaving, version } = target;
    const { bornMilliseconds: born } = target;
    this.put(`${TARGET_PREFIX}${id}`, {
      service,
      address: `127.0.0.1:${port}`,
      zone: availabilityZone,
      version,
      born,
      slots,
      state: isLeaving ? 'draining' : 'ready',
      coldRemainingMs: 0,
      seq: 1,
    });
  }

  /** Removes a target's entry, as the platform does when the target has left or is unresponsive. */
  withdrawTarget(id: string): void {
    this.state.write([], [`${TARGET_PREFIX}${id}`]);
  }

  async #read(request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    const item = this.state.read(keyQuerySchema.parse(request.query).key);
    return item ? { ...item, at: this.state.revision } : reply.code(STATUS_NOT_FOUND).send({});
  }

  async #range(request: FastifyRequest): Promise<object> {
    const { pathPrefix, after } = rangeQuerySchema.parse(request.query);
    const items = this.state.range(pathPrefix, after);
    const at = this.state.revision;
    const hasMore = items.length > PAGE_ITEMS;
    return { items: await this.#view(items.slice(0, PAGE_ITEMS), request), hasMore, at };
  }

  async #watch(request: FastifyRequest): Promise<object> {
    const { pathPrefix, after, waitMs } = watchQuerySchema.parse(request.query);
    await this.#waitForChange(pathPrefix, after, waitMs, request);
    const events = this.state.eventsAfter(pathPrefix, after);
    const at = this.state.revision;
    return { events: await this.#view(events, request), at };
  }

  /** Replaces the addresses of targets by those that the reader sees. */
  async #view(
    events: readonly PlatformStoreEvent[],
    { raw }: FastifyRequest,
  ): Promise<readonly PlatformStoreEvent[]> {
    const view = this.#views.get(raw.socket.localPort ?? 0);
    if (!view) return events;
    return Promise.all(
      events.map(async (event) => {
        if (!event.key.startsWith(TARGET_PREFIX) || !('value' in event)) return event;
        const text = Buffer.from(event.value, 'base64').toString();
        const announcement = announcementSchema.parse(JSON.parse(text));
        const address = await view(announcement.address);
        const value = Buffer.from(JSON.stringify({ ...announcement, address })).toString('base64');
        return { ...event, value };
      }),
    );
  }

  /** Resolves when there is a change to report, the wait time ends, or the caller disconnects. */
  #waitForChange(
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

  async #runTransaction(request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    const { expectedRevision, puts, deletes } = transactionSchema.parse(request.body);
    const keys = [...puts.map(({ key }) => key), ...deletes];
    const isReadOnly = (key: string): boolean =>
      READ_ONLY_PREFIXES.some((prefix) => key.startsWith(prefix));
    if (keys.some(isReadOnly)) return reply.code(STATUS_FORBIDDEN).send({});
    const hasExpiredLease = puts.some(({ lease }) => lease !== 0 && !this.state.hasLease(lease));
    if (hasExpiredLease) return reply.code(STATUS_NOT_FOUND).send({});
    const current = expectedRevision.map(({ key }) => this.state.read(key) ?? { key, revision: 0 });
    const isAsExpected = expectedRevision.every(
      ({ revision }, index) => current[index]?.revision === revision,
    );
    if (!isAsExpected) return reply.code(STATUS_CONFLICT).send({ items: current });
    return { revision: this.state.write(puts, deletes) };
  }
}
