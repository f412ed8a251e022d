import type { CallAnswer } from './callAnswer';
import { answered, refused } from './callAnswer';
import { headerOf, keyValueOf } from './gatewayAnswers';
import {
  leaseGrantRequestSchema,
  leaseRequestSchema,
  rangeRequestSchema,
  transactionRequestSchema,
} from './gatewayRequests';
import { keyMatcher } from './keyMatcher';
import { runTransaction } from './runTransaction';
import type { StoreState } from './storeState';

const MILLISECONDS_PER_SECOND = 1_000;
const MAXIMUM_VALUE_BYTES = 1_024 * 1_024;

const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const CODE_INVALID_ARGUMENT = 3;
const CODE_NOT_FOUND = 5;

const leaseNotFound = (): CallAnswer =>
  refused(STATUS_NOT_FOUND, CODE_NOT_FOUND, 'etcdserver: requested lease not found');

/** Carries out the calls of the gateway on the store's state. */
export class StoreCalls {
  readonly #state: StoreState;

  #largestValueBytes = 0;

  constructor(state: StoreState) {
    this.#state = state;
  }

  /** Bytes of the largest value that was written. */
  get largestValueBytes(): number {
    return this.#largestValueBytes;
  }

  range(body: unknown): CallAnswer {
    const entries = this.#state.select(keyMatcher(rangeRequestSchema.parse(body)));
    return answered({
      header: headerOf(this.#state),
      kvs: entries.map(keyValueOf),
      count: String(entries.length),
    });
  }

  transaction(body: unknown): CallAnswer {
    const request = transactionRequestSchema.parse(body);
    const sizes = request.success.map((operation) =>
      'request_put' in operation ? Buffer.byteLength(operation.request_put.value, 'base64') : 0,
    );
    const largest = Math.max(0, ...sizes);
    if (largest > MAXIMUM_VALUE_BYTES) {
      return refused(STATUS_BAD_REQUEST, CODE_INVALID_ARGUMENT, 'etcdserver: request is too large');
    }
    this.#largestValueBytes = Math.max(this.#largestValueBytes, largest);
    const result = runTransaction(this.#state, request);
    return result.kind === 'answered' ? answered(result.answer) : leaseNotFound();
  }

  grantLease(body: unknown): CallAnswer {
    const seconds = leaseGrantRequestSchema.parse(body).TTL;
    const identifier = this.#state.grantLease(Number(seconds) * MILLISECONDS_PER_SECOND);
    return answered({ header: headerOf(this.#state), ID: identifier, TTL: seconds });
  }

  keepLease(body: unknown): CallAnswer {
    const { ID: identifier } = leaseRequestSchema.parse(body);
    const milliseconds = this.#state.renewLease(identifier) ?? 0;
    const seconds = String(milliseconds / MILLISECONDS_PER_SECOND);
    return answered({ result: { header: headerOf(this.#state), ID: identifier, TTL: seconds } });
  }

  revokeLease(body: unknown): CallAnswer {
    const { ID: identifier } = leaseRequestSchema.parse(body);
    if (!this.#state.revokeLease(identifier)) return leaseNotFound();
    return answered({ header: headerOf(this.#state) });
  }
}
