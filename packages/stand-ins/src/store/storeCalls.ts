import type { CallResponse } from './callResponse';
import { toSuccessResponse, toErrorResponse } from './callResponse';
import { toResponseHeader, toKeyValue } from './gatewayResponses';
import {
  leaseGrantRequestSchema,
  leaseRequestSchema,
  rangeRequestSchema,
  transactionRequestSchema,
} from './gatewayRequests';
import { createKeyMatcher } from './createKeyMatcher';
import { runTransaction } from './runTransaction';
import type { StoreState } from './storeState';

const MILLISECONDS_PER_SECOND = 1_000;
const MAXIMUM_VALUE_BYTES = 1_024 * 1_024;

const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const CODE_INVALID_ARGUMENT = 3;
const CODE_NOT_FOUND = 5;

const createLeaseNotFoundResponse = (): CallResponse =>
  toErrorResponse(STATUS_NOT_FOUND, CODE_NOT_FOUND, 'etcdserver: requested lease not found');

/** Applies the calls of the gateway to the state of the store. */
export class StoreCalls {
  readonly #state: StoreState;

  #largestValueBytes = 0;

  constructor(state: StoreState) {
    this.#state = state;
  }

  /** Size of the largest value written so far, in bytes. */
  get largestValueBytes(): number {
    return this.#largestValueBytes;
  }

  range(body: unknown): CallResponse {
    const entries = this.#state.select(createKeyMatcher(rangeRequestSchema.parse(body)));
    return toSuccessResponse({
      header: toResponseHeader(this.#state),
      kvs: entries.map(toKeyValue),
      count: String(entries.length),
    });
  }

  transaction(body: unknown): CallResponse {
    const request = transactionRequestSchema.parse(body);
    const sizes = request.success.map((operation) =>
      'request_put' in operation ? Buffer.byteLength(operation.request_put.value, 'base64') : 0,
    );
    const largest = Math.max(0, ...sizes);
    if (largest > MAXIMUM_VALUE_BYTES) {
      return toErrorResponse(
        STATUS_BAD_REQUEST,
        CODE_INVALID_ARGUMENT,
        'etcdserver: request is too large',
      );
    }
    this.#largestValueBytes = Math.max(this.#largestValueBytes, largest);
    const result = runTransaction(this.#state, request);
    return result.kind === 'answered'
      ? toSuccessResponse(result.answer)
      : createLeaseNotFoundResponse();
  }

  grantLease(body: unknown): CallResponse {
    const seconds = leaseGrantRequestSchema.parse(body).TTL;
    const identifier = this.#state.grantLease(Number(seconds) * MILLISECONDS_PER_SECOND);
    return toSuccessResponse({
      header: toResponseHeader(this.#state),
      ID: identifier,
      TTL: seconds,
    });
  }

  renewLease(body: unknown): CallResponse {
    const { ID: identifier } = leaseRequestSchema.parse(body);
    const milliseconds = this.#state.renewLease(identifier) ?? 0;
    const seconds = String(milliseconds / MILLISECONDS_PER_SECOND);
    return toSuccessResponse({
      result: { header: toResponseHeader(this.#state), ID: identifier, TTL: seconds },
    });
  }

  revokeLease(body: unknown): CallResponse {
    const { ID: identifier } = leaseRequestSchema.parse(body);
    if (!this.#state.revokeLease(identifier)) return createLeaseNotFoundResponse();
    return toSuccessResponse({ header: toResponseHeader(this.#state) });
  }
}
