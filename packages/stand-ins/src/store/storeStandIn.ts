import type { FastifyReply, FastifyRequest } from 'fastify';
import { addControlPaths } from '../util/addControlPaths';
import { Gate } from '../util/gate';
import { StandInServer } from '../util/standInServer';
import { waitMilliseconds } from '../util/waitMilliseconds';
import type { CallResponse } from './callResponse';
import { toErrorResponse } from './callResponse';
import { CallRateLimiter } from './callRateLimiter';
import { StoreCalls } from './storeCalls';
import { transactionRequestSchema, watchRequestSchema } from './gatewayRequests';
import type { StoreFaults, StoreFaultsChange } from './storeFaults';
import { NO_STORE_FAULTS, storeFaultsChangeSchema, storeFaultsSchema } from './storeFaults';
import { StoreState } from './storeState';
import type { StoreCallName, StoreStatistics } from './storeStatistics';
import { WatchStreams } from './watchStreams';

const LEASE_CHECK_MILLISECONDS = 50;
const DEFAULT_PROGRESS_MILLISECONDS = 1_000;

const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_SERVICE_UNAVAILABLE = 503;
const CODE_RESOURCE_EXHAUSTED = 8;
const CODE_UNAVAILABLE = 14;

/** Description of a transaction by which a gate selects the one to hold. */
export interface HeldTransaction {
  /** Keys that the transaction writes if its comparisons succeed. */
  readonly keys: readonly string[];
}

const parseHeldTransaction = (body: unknown): HeldTransaction => {
  const parsed = transactionRequestSchema.safeParse(body);
  if (!parsed.success) return { keys: [] };
  return {
    keys: parsed.data.success.flatMap((operation) =>
      'request_put' in operation
        ? [Buffer.from(operation.request_put.key, 'base64').toString('utf8')]
        : [],
    ),
  };
};

/** Options of a {@link StoreStandIn}. */
export interface StoreStandInOptions {
  /** Interval of progress notifications to each watch, in milliseconds; 1 second by default. */
  readonly progressMilliseconds?: number;
}

/** Stand-in of the platform's key-value service, which speaks the etcd v3 JSON gateway protocol. */
export class StoreStandIn {
  readonly server = new StandInServer();

  readonly state = new StoreState();

  /** Holds transactions before they take effect. */
  readonly transactionsBefore = new Gate<HeldTransaction>();

  /** Holds transactions after they took effect and before the response is sent. */
  readonly transactionsAfter = new Gate<HeldTransaction>();

  readonly #storeCalls = new StoreCalls(this.state);

  readonly #watches = new WatchStreams(this.state);

  readonly #progressMilliseconds: number;

  readonly #readRate = new CallRateLimiter();

  readonly #writeRate = new CallRateLimiter();

  readonly #callCounts: Record<StoreCallName, number> = {
    range: 0,
    transaction: 0,
    'lease-grant': 0,
    'lease-keepalive': 0,
    'lease-revoke': 0,
    watch: 0,
  };

  #faults: StoreFaults = NO_STORE_FAULTS;

  #reads = 0;

  #writes = 0;

  #rateLimitedCalls = 0;

  #timers: NodeJS.Timeout[] = [];

  constructor({ progressMilliseconds = DEFAULT_PROGRESS_MILLISECONDS }: StoreStandInOptions = {}) {
    this.#progressMilliseconds = progressMilliseconds;
    this.#addRoutes();
  }

  /** Listens on a port of 127.0.0.1, 0 for any free one; resolves to the port. */
  async start(port = 0): Promise<number> {
    this.#timers = [
      setInterval(() => this.state.expireLeases(), LEASE_CHECK_MILLISECONDS),
      setInterval(() => this.#watches.notifyProgress(), this.#progressMilliseconds),
    ];
    return this.server.start(port);
  }

  async stop(): Promise<void> {
    this.#timers.forEach((timer) => clearInterval(timer));
    await this.server.stop();
  }

  get faults(): StoreFaults {
    return this.#faults;
  }

  /** Changes the given faults and runs the given actions; resolves to the faults now in force. */
  async setFaults(change: StoreFaultsChange): Promise<StoreFaults> {
    const parsed = storeFaultsChangeSchema.parse(change);
    const { silenceConnections, silenceWatches, breakConnections, compact, ...faults } = parsed;
    this.#faults = storeFaultsSchema.parse({ ...this.#faults, ...faults });
    if (silenceWatches) this.#watches.silence();
    if (silenceConnections) this.server.silenceConnections();
    if (breakConnections) this.server.breakConnections();
    if (compact) this.state.compact();
    if (faults.outage === 'refused') await this.server.refuse();
    else if (faults.outage !== undefined) await this.server.accept();
    return this.#faults;
  }

  statistics(): StoreStatistics {
    return {
      calls: { ...this.#callCounts },
      reads: this.#reads,
      writes: this.#writes,
      refusedForRate: this.#rateLimitedCalls,
      waitingWatches: this.#watches.openCount,
      revision: this.state.revision,
      largestValueBytes: this.#storeCalls.largestValueBytes,
    };
  }

  #addRoutes(): void {
    this.#addCall('/v3/kv/range', 'range', (body) => this.#storeCalls.range(body));
    this.#addCall('/v3/kv/txn', 'transaction', (body) => this.#storeCalls.transaction(body));
    this.#addCall('/v3/lease/grant', 'lease-grant', (body) => this.#storeCalls.grantLease(body));
    this.#addCall('/v3/lease/keepalive', 'lease-keepalive', (body) =>
      this.#storeCalls.renewLease(body),
    );
    this.#addCall('/v3/lease/revoke', 'lease-revoke', (body) => this.#storeCalls.revokeLease(body));
    this.#addCall('/v3/kv/lease/revoke', 'lease-revoke', (body) =>
      this.#storeCalls.revokeLease(body),
    );
    this.server.application.post('/v3/watch', (request, reply) => this.#watch(request, reply));
    addControlPaths(this.server, {
      setFaults: (change) => this.setFaults(storeFaultsChangeSchema.parse(change)),
      statistics: () => this.statistics(),
      lists: {},
    });
  }

  #addCall(path: string, name: StoreCallName, run: (body: unknown) => CallResponse): void {
    this.server.application.post(path, async (request, reply) => {
      const rejection = await this.#admit(name);
      if (rejection) return StoreStandIn.#reply(reply, rejection);
      const isWrite = name !== 'range';
      if (isWrite && this.#consumeLoss('loseRequests')) return StoreStandIn.#disconnect(reply);
      const transaction = parseHeldTransaction(name === 'transaction' ? request.body : undefined);
      await this.transactionsBefore.pass(transaction);
      const response = run(request.body);
      await this.transactionsAfter.pass(transaction);
      if (isWrite && this.#consumeLoss('loseAnswers')) return StoreStandIn.#disconnect(reply);
      await waitMilliseconds(this.#faults.answerLatencyMilliseconds);
      return StoreStandIn.#reply(reply, response);
    });
  }

  async #admit(name: StoreCallName): Promise<CallResponse | undefined> {
    this.#callCounts[name] += 1;
    if (this.#faults.outage === 'unavailable') {
      return toErrorResponse(STATUS_SERVICE_UNAVAILABLE, CODE_UNAVAILABLE, 'etcdserver: no leader');
    }
    if (!this.#countAgainstRate(name === 'range' || name === 'watch')) {
      this.#rateLimitedCalls += 1;
      return toErrorResponse(
        STATUS_TOO_MANY_REQUESTS,
        CODE_RESOURCE_EXHAUSTED,
        'etcdserver: too many requests',
      );
    }
    await waitMilliseconds(this.#faults.latencyMilliseconds);
    return undefined;
  }

  #countAgainstRate(isRead: boolean): boolean {
    if (isRead) this.#reads += 1;
    else this.#writes += 1;
    return isRead
      ? this.#readRate.tryAcquire(this.#faults.readsPerSecond)
      : this.#writeRate.tryAcquire(this.#faults.writesPerSecond);
  }

  #consumeLoss(kind: 'loseAnswers' | 'loseRequests'): boolean {
    const remaining = this.#faults[kind];
    if (remaining === 0) return false;
    this.#faults = { ...this.#faults, [kind]: remaining - 1 };
    return true;
  }

  async #watch(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const rejection = await this.#admit('watch');
    if (rejection) return StoreStandIn.#reply(reply, rejection);
    const watch = watchRequestSchema.parse(request.body).create_request;
    reply.hijack();
    this.#watches.open(watch, reply.raw);
    return reply;
  }

  static #reply(reply: FastifyReply, response: CallResponse): FastifyReply {
    switch (response.kind) {
      case 'answered':
        return reply.send(response.body);
      case 'refused':
        return reply
          .code(response.status)
          .send({ error: response.message, message: response.message, code: response.code });
      default:
        return response satisfies never;
    }
  }

  static #disconnect(reply: FastifyReply): FastifyReply {
    reply.hijack();
    reply.raw.destroy();
    return reply;
  }
}
