import { toResponseHeader, toKeyValue } from './gatewayResponses';
import type { TransactionOperation, TransactionRequest } from './gatewayRequests';
import { createKeyMatcher } from './createKeyMatcher';
import type { StoreState } from './storeState';

/** Result of a transaction: its response, or that a put names a lease that does not exist. */
export type TransactionResult =
  { readonly kind: 'answered'; readonly answer: object } | { readonly kind: 'lease-not-found' };

const runOperation = (state: StoreState, operation: TransactionOperation): object => {
  if ('request_put' in operation) {
    const { key, value, lease } = operation.request_put;
    state.put(key, value, lease);
    return { response_put: { header: toResponseHeader(state) } };
  }
  if ('request_range' in operation) {
    const entries = state.select(createKeyMatcher(operation.request_range));
    return { response_range: { header: toResponseHeader(state), kvs: entries.map(toKeyValue) } };
  }
  const entries = state.select(createKeyMatcher(operation.request_delete_range));
  const deleted = state.remove(entries.map((entry) => entry.key));
  return { response_delete_range: { header: toResponseHeader(state), deleted: String(deleted) } };
};

const hasUnknownLease = (state: StoreState, operation: TransactionOperation): boolean =>
  'request_put' in operation &&
  operation.request_put.lease !== '0' &&
  !state.hasLease(operation.request_put.lease);

/** Evaluates the comparisons, then runs the operations for success or for failure. */
export const runTransaction = (
  state: StoreState,
  { compare, success, failure }: TransactionRequest,
): TransactionResult => {
  const succeeded = compare.every(
    ({ key, mod_revision: expected }) => (state.get(key)?.revision ?? 0) === Number(expected),
  );
  const operations = succeeded ? success : failure;
  if (operations.some((operation) => hasUnknownLease(state, operation))) {
    return { kind: 'lease-not-found' };
  }
  const responses = operations.map((operation) => runOperation(state, operation));
  return { kind: 'answered', answer: { header: toResponseHeader(state), succeeded, responses } };
};
