import type { FastifyReply, FastifyRequest } from 'fastify';
import { addControlPaths } from '../util/addControlPaths';
import { StandInServer } from '../util/standInServer';
import { waitMilliseconds } from '../util/waitMilliseconds';
import { CallRate } from './callRate';
import { headerOf, keyValueOf } from './gatewayAnswers';
import {
  leaseGrantRequestSchema,
  leaseRequestSchema,
  rangeRequestSchema,
  transactionRequestSchema,
  watchRequestSchema,
} from './gatewayRequests';
import { keyMatcher } from './keyMatcher';
import { runTransaction } from './runTransaction';
import type { StoreFaults, StoreFaultsChange } from './storeFaults';
import { NO_STORE_FAULTS, storeFaultsChangeSchema, storeFaultsSchema } from './storeFaults';
import { StoreState } from './storeState';
import type { StoreCallName, StoreStatistics } from './storeStatistics';
import { WatchStreams } from './watchStreams';

const LEASE_CHECK_MILLISECONDS = 50;
const DEFAULT_PROGRESS_MILLISECONDS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const MAXIMUM_VALUE_BYTES = 1_024 * 1_024;

const STATUS_NOT_FOUND = 404;
const STATUS_BAD_REQUEST = 400;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_SERVICE_UNAVAILABLE = 503;

const CODE_INVALID_ARGUMENT = 3;
const CODE_NOT_FOUND = 5;
const CODE_RESOURCE_EXHAUSTED = 8;
const CODE_UNAVAILABLE = 14;

/** Answer of one call: the body of a 200, or a refusal. */
type CallAnswer =
  | { readonly kind: 'answered'; readonly body: object }
  | {
      readonly kind: 'refused';
      readonly status: number;
      readonly code: number;
      readonly message: string;
    };

const answered = (body: object): CallAnswer => ({ kind: 'answered', body });

const refused = (status: number, code: number, message: string): CallAnswer => ({
  kind: 'refused',
  status,
  code,
  message,
});

const leaseNotFound = (): CallAnswer =>
  refused(STATUS_NOT_FOUND, CODE_NOT_FOUND, 'etcdserver: requested lease not found');

/** Options of a {@link StoreStandIn}. */
export interface StoreStandInOptions {
  /** Time between reports of progress to each watch, in milliseconds; 1 second by default. */
  readonly progressMilliseconds?: number;
}

/** Stand-in of the platform's key-value service, over the etcd v3 JSON gateway protocol. */
export class StoreStandIn {
  readonly server = new StandInServer();

  readonly state = new StoreState();

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

  #largestValueBytes = 0;

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
      largestValueBytes: this.#largestValueBytes,
    };
  }

  #addRoutes(): void {
    this.#addCall('/v3/kv/range', 'range', (body) => this.#range(body));
    this.#addCall('/v3/kv/txn', 'transaction', (body) => this.#transaction(body));
    this.#addCall('/v3/lease/grant', 'lease-grant', (body) => this.#grantLease(body));
    this.#addCall('/v3/lease/keepalive', 'lease-keepalive', (body) => this.#keepLease(body));
    this.#addCall('/v3/lease/revoke', 'lease-revoke', (body) => this.#revokeLease(body));
    this.#addCall('/v3/kv/lease/revoke', 'lease-revoke', (body) => this.#revokeLease(body));
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
      const answer = run(request.body);
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

  #range(body: unknown): CallAnswer {
    const entries = this.state.select(keyMatcher(rangeRequestSchema.parse(body)));
    return answered({
      header: headerOf(this.state),
      kvs: entries.map(keyValueOf),
      count: String(entries.length),
    });
  }

  #transaction(body: unknown): CallAnswer {
    const request = transactionRequestSchema.parse(body);
    const sizes = request.success.map((operation) =>
      'request_put' in operation ? Buffer.byteLength(operation.request_put.value, 'base64') : 0,
    );
    const largest = Math.max(0, ...sizes);
    if (largest > MAXIMUM_VALUE_BYTES) {
      return refused(STATUS_BAD_REQUEST, CODE_INVALID_ARGUMENT, 'etcdserver: request is too large');
    }
    this.#largestValueBytes = Math.max(this.#largestValueBytes, largest);
    const result = runTransaction(this.state, request);
    return result.kind === 'answered' ? answered(result.answer) : leaseNotFound();
  }

  #grantLease(body: unknown): CallAnswer {
    const seconds = leaseGrantRequestSchema.parse(body).TTL;
    const identifier = this.state.grantLease(Number(seconds) * MILLISECONDS_PER_SECOND);
    return answered({ header: headerOf(this.state), ID: identifier, TTL: seconds });
  }

  #keepLease(body: unknown): CallAnswer {
    const { ID: identifier } = leaseRequestSchema.parse(body);
    const milliseconds = this.state.renewLease(identifier) ?? 0;
    const seconds = String(milliseconds / MILLISECONDS_PER_SECOND);
    return answered({ result: { header: headerOf(this.state), ID: identifier, TTL: seconds } });
  }

  #revokeLease(body: unknown): CallAnswer {
    const { ID: identifier } = leaseRequestSchema.parse(body);
    if (!this.state.revokeLease(identifier)) return leaseNotFound();
    return answered({ header: headerOf(this.state) });
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
