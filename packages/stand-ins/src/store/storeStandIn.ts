import type { FastifyReply, FastifyRequest } from 'fastify';
import { addControlPaths } from '../util/addControlPaths';
import { Gate } from '../util/gate';
import { StandInServer } from '../util/standInServer';
import { waitMilliseconds } from '../util/waitMilliseconds';
import type { CallAnswer } from './callAnswer';
import { refused } from './callAnswer';
import { CallRate } from './callRate';
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

/** A transaction as gates see it. */
export interface HeldTransaction {
  /** Keys that it writes if its comparison holds. */
  readonly keys: readonly string[];
}

const heldTransaction = (body: unknown): HeldTransaction => {
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
  /** Time between reports of progress to each watch, in milliseconds; 1 second by default. */
  readonly progressMilliseconds?: number;
}

/** Stand-in of the platform's key-value service, over the etcd v3 JSON gateway protocol. */
export class StoreStandIn {
  readonly server = new StandInServer();

  readonly state = new StoreState();

  /** Holds transactions before they take effect. */
  readonly transactionsBefore = new Gate<HeldTransaction>();

  /** Holds transactions after they took effect and before they are answered. */
  readonly transactionsAfter = new Gate<HeldTransaction>();

  readonly #operations = new StoreCalls(this.state);

  readonly #watches = new WatchStreams(this.state);

  readonly #progressMilliseconds: number;

  readonly #readRate = new CallRate();

  readonly #writeRate = new CallRate();

  readonly #calls: Record<StoreCallName, number> = {
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

  #refusedForRate = 0;

  #timers: NodeJS.Timeout[] = [];

  constructor({ progressMilliseconds = DEFAULT_PROGRESS_MILLISECONDS }: StoreStandInOptions = {}) {
    this.#progressMilliseconds = progressMilliseconds;
    this.#addRoutes();
  }

  /** Starts on a port of 127.0.0.1, any free one where it is 0; resolves to the port. */
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

  /** Changes the faults that are named and carries out the actions. */
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
      calls: { ...this.#calls },
      reads: this.#reads,
      writes: this.#writes,
      refusedForRate: this.#refusedForRate,
      waitingWatches: this.#watches.waiting,
      revision: this.state.revision,
      largestValueBytes: this.#operations.largestValueBytes,
    };
  }

  #addRoutes(): void {
    this.#addCall('/v3/kv/range', 'range', (body) => this.#operations.range(body));
    this.#addCall('/v3/kv/txn', 'transaction', (body) => this.#operations.transaction(body));
    this.#addCall('/v3/lease/grant', 'lease-grant', (body) => this.#operations.grantLease(body));
    this.#addCall('/v3/lease/keepalive', 'lease-keepalive', (body) =>
      this.#operations.keepLease(body),
    );
    this.#addCall('/v3/lease/revoke', 'lease-revoke', (body) => this.#operations.revokeLease(body));
    this.#addCall('/v3/kv/lease/revoke', 'lease-revoke', (body) =>
      this.#operations.revokeLease(body),
    );
    this.server.application.post('/v3/watch', (request, reply) => this.#watch(request, reply));
    addControlPaths(this.server, {
      setFaults: (change) => this.setFaults(storeFaultsChangeSchema.parse(change)),
      statistics: () => this.statistics(),
      lists: {},
    });
  }

  #addCall(path: string, name: StoreCallName, run: (body: unknown) => CallAnswer): void {
    this.server.application.post(path, async (request, reply) => {
      const early = await this.#admit(name);
      if (early) return StoreStandIn.#reply(reply, early);
      const isWrite = name !== 'range';
      if (isWrite && this.#takeLoss('loseRequests')) return StoreStandIn.#breakOff(reply);
      const transaction = heldTransaction(name === 'transaction' ? request.body : undefined);
      await this.transactionsBefore.pass(transaction);
      const answer = run(request.body);
      await this.transactionsAfter.pass(transaction);
      if (isWrite && this.#takeLoss('loseAnswers')) return StoreStandIn.#breakOff(reply);
      await waitMilliseconds(this.#faults.answerLatencyMilliseconds);
      return StoreStandIn.#reply(reply, answer);
    });
  }

  async #admit(name: StoreCallName): Promise<CallAnswer | undefined> {
    this.#calls[name] += 1;
    if (this.#faults.outage === 'unavailable') {
      return refused(STATUS_SERVICE_UNAVAILABLE, CODE_UNAVAILABLE, 'etcdserver: no leader');
    }
    if (!this.#isWithinRate(name === 'range' || name === 'watch')) {
      this.#refusedForRate += 1;
      return refused(
        STATUS_TOO_MANY_REQUESTS,
        CODE_RESOURCE_EXHAUSTED,
        'etcdserver: too many requests',
      );
    }
    await waitMilliseconds(this.#faults.latencyMilliseconds);
    return undefined;
  }

  #isWithinRate(isRead: boolean): boolean {
    if (isRead) this.#reads += 1;
    else this.#writes += 1;
    return isRead
      ? this.#readRate.take(this.#faults.readsPerSecond)
      : this.#writeRate.take(this.#faults.writesPerSecond);
  }

  #takeLoss(kind: 'loseAnswers' | 'loseRequests'): boolean {
    const left = this.#faults[kind];
    if (left === 0) return false;
    this.#faults = { ...this.#faults, [kind]: left - 1 };
    return true;
  }

  async #watch(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const early = await this.#admit('watch');
    if (early) return StoreStandIn.#reply(reply, early);
    const watch = watchRequestSchema.parse(request.body).create_request;
    reply.hijack();
    this.#watches.open(watch, reply.raw);
    return reply;
  }

  static #reply(reply: FastifyReply, answer: CallAnswer): FastifyReply {
    switch (answer.kind) {
      case 'answered':
        return reply.send(answer.body);
      case 'refused':
        return reply
          .code(answer.status)
          .send({ error: answer.message, message: answer.message, code: answer.code });
      default:
        return answer satisfies never;
    }
  }

  static #breakOff(reply: FastifyReply): FastifyReply {
    reply.hijack();
    reply.raw.destroy();
    return reply;
  }
}
