import { headerOf, keyValueOf } from './gatewayAnswers';
import type { TransactionOperation, TransactionRequest } from './gatewayRequests';
import { keyMatcher } from './keyMatcher';
import type { StoreState } from './storeState';

/** How a transaction ended: its answer, or the lease that it named but that doesn't exist. */
export type TransactionResult =
  { readonly kind: 'answered'; readonly answer: object } | { readonly kind: 'lease-not-found' };

const runOperation = (state: StoreState, operation: TransactionOperation): object => {
  if ('request_put' in operation) {
    const { key, value, lease } = operation.request_put;
    state.put(key, value, lease);
    return { response_put: { header: headerOf(state) } };
  }
  if ('request_range' in operation) {
    const entries = state.select(keyMatcher(operation.request_range));
    return { response_range: { header: headerOf(state), kvs: entries.map(keyValueOf) } };
  }
  const entries = state.select(keyMatcher(operation.request_delete_range));
  const deleted = state.remove(entries.map((entry) => entry.key));
  return { response_delete_range: { header: headerOf(state), deleted: String(deleted) } };
};

const namesUnknownLease = (state: StoreState, operation: TransactionOperation): boolean =>
  'request_put' in operation &&
  operation.request_put.lease !== '0' &&
  !state.hasLease(operation.request_put.lease);

/** Compares, then carries out one of the two lists of operations. */
export const runTransaction = (
  state: StoreState,
  { compare, success, failure }: TransactionRequest,
): TransactionResult => {
  const succeeded = compare.every(
    ({ key, mod_revision: expected }) => (state.get(key)?.revision ?? 0) === Number(expected),
  );
  const operations = succeeded ? success : failure;
  if (operations.some((operation) => namesUnknownLease(state, operation))) {
    return { kind: 'lease-not-found' };
  }
  const responses = operations.map((operation) => runOperation(state, operation));
  return { kind: 'answered', answer: { header: headerOf(state), succeeded, responses } };
};
