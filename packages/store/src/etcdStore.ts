import type { ResultAsync } from 'neverthrow';
import { err, ok } from 'neverthrow';
import {
  emptyResponseSchema,
  leaseGrantResponseSchema,
  leaseKeepAliveResponseSchema,
  rangeResponseSchema,
  transactionResponseSchema,
} from './gateway/responseSchemas';
import type { GatewayClient } from './gateway/gatewayClient';
import { toStoreEntry } from './gateway/toStoreEntry';
import { streamWatchEvents } from './gateway/streamWatchEvents';
import type {
  CompareAndSwapOutcome,
  CompareAndSwapRequest,
  KeyValueStore,
  Lease,
  StoreEntry,
  StoreListing,
  WatchEvent,
  WatchOptions,
} from './keyValueStore';
import type { StoreError } from './storeError';
import type { StoreObserver } from './storeObserver';
import { encodeBase64 } from './util/base64';
import { toKeyRange } from './util/toKeyRange';
import { WatchError } from './watchError';

const MILLISECONDS_PER_SECOND = 1_000;

/** Dependencies and settings of an {@link EtcdStore}. */
export interface EtcdStoreDependencies {
  readonly client: GatewayClient;
  readonly observer: StoreObserver;
  readonly watchSilenceMilliseconds: number;
}

const createRevisionComparison = (key: string, revision: number): object => ({
  key: encodeBase64(key),
  target: 'MOD',
  result: 'EQUAL',
  mod_revision: String(revision),
});

/** A key-value store that speaks the etcd v3 JSON gateway protocol. */
export class EtcdStore implements KeyValueStore {
  readonly #client: GatewayClient;

  readonly #observer: StoreObserver;

  readonly #watchSilenceMilliseconds: number;

  constructor({ client, observer, watchSilenceMilliseconds }: EtcdStoreDependencies) {
    this.#client = client;
    this.#observer = observer;
    this.#watchSilenceMilliseconds = watchSilenceMilliseconds;
  }

  read(key: string): ResultAsync<StoreEntry | undefined, StoreError> {
    return this.#client
      .call({
        kind: 'read',
        path: '/v3/kv/range',
        body: { key: encodeBase64(key) },
        schema: rangeResponseSchema,
      })
      .map(({ kvs: [first] }) => first && toStoreEntry(first));
  }

  list(prefix: string): ResultAsync<StoreListing, StoreError> {
    return this.#client
      .call({
        kind: 'list',
        path: '/v3/kv/range',
        body: toKeyRange(prefix),
        schema: rangeResponseSchema,
      })
      .map(({ header, kvs }) => ({ entries: kvs.map(toStoreEntry), revision: header.revision }));
  }

  compareAndSwap({
    key,
    expectedRevision,
    value,
    leaseId,
  }: CompareAndSwapRequest): ResultAsync<CompareAndSwapOutcome, StoreError> {
    const put = {
      key: encodeBase64(key),
      value: encodeBase64(value),
      ...(leaseId === undefined ? {} : { lease: leaseId }),
    };
    return this.#client
      .call({
        kind: 'compare-and-swap',
        path: '/v3/kv/txn',
        body: {
          compare: [createRevisionComparison(key, expectedRevision)],
          success: [{ request_put: put }],
          failure: [{ request_range: { key: encodeBase64(key) } }],
        },
        schema: transactionResponseSchema,
      })
      .map(({ succeeded, header, responses }): CompareAndSwapOutcome => {
        if (succeeded) return { kind: 'swapped', revision: header.revision };
        const current = responses[0]?.response_range?.kvs[0];
        return { kind: 'conflict', current: current && toStoreEntry(current) };
      });
  }

  remove(key: string, expectedRevision: number): ResultAsync<boolean, StoreError> {
    return this.#client
      .call({
        kind: 'remove',
        path: '/v3/kv/txn',
        body: {
          compare: [createRevisionComparison(key, expectedRevision)],
          success: [{ request_delete_range: { key: encodeBase64(key) } }],
        },
        schema: transactionResponseSchema,
      })
      .map(({ succeeded }) => succeeded);
  }

  grantLease(timeToLiveMilliseconds: number): ResultAsync<Lease, StoreError> {
    const seconds = Math.ceil(timeToLiveMilliseconds / MILLISECONDS_PER_SECOND);
    return this.#client
      .call({
        kind: 'grant-lease',
        path: '/v3/lease/grant',
        body: { TTL: String(seconds) },
        schema: leaseGrantResponseSchema,
      })
      .map(({ ID, TTL }) => ({
        leaseId: ID,
        timeToLiveMilliseconds: TTL * MILLISECONDS_PER_SECOND,
      }));
  }

  renewLease(leaseId: string): ResultAsync<Lease, StoreError> {
    return this.#client
      .call({
        kind: 'renew-lease',
        path: '/v3/lease/keepalive',
        body: { ID: leaseId },
        schema: leaseKeepAliveResponseSchema,
      })
      .andThen(({ result }) => {
        if (result.TTL <= 0) {
          return err<Lease, StoreError>({ kind: 'lease-ended', detail: `lease ${leaseId}` });
        }
        return ok({ leaseId, timeToLiveMilliseconds: result.TTL * MILLISECONDS_PER_SECOND });
      });
  }

  revokeLease(leaseId: string): ResultAsync<void, StoreError> {
    return this.#client
      .call({
        kind: 'revoke-lease',
        path: '/v3/lease/revoke',
        body: { ID: leaseId },
        schema: emptyResponseSchema,
      })
      .map(() => undefined);
  }

  async *watch(options: WatchOptions): AsyncGenerator<WatchEvent, void, undefined> {
    const reportOutcome = this.#observer.callStarted('watch');
    try {
      yield* streamWatchEvents(options, {
        endpoint: this.#client.endpoint,
        silenceMilliseconds: options.silenceMilliseconds ?? this.#watchSilenceMilliseconds,
      });
      reportOutcome('answered');
    } catch (failure) {
      reportOutcome(
        failure instanceof WatchError && failure.kind === 'malformed'
          ? 'malformed-answer'
          : 'unavailable',
      );
      if (!(failure instanceof WatchError && failure.kind === 'compacted')) {
        this.#client.switchEndpoint();
      }
      throw failure;
    }
  }

  close(): Promise<void> {
    return this.#client.close();
  }
}
