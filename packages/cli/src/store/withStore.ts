import { createEtcdStore } from '@limpetnotch/store';
import type { KeyValueStore } from '@limpetnotch/store';
import type { Result } from 'neverthrow';
import type { CommandError } from '../commandError';
import { parseSetting } from '../settings/parseSetting';

/** Runs a task with a store client, and closes the client afterwards. */
export const withStore = async <Value>(
  addresses: string | undefined,
  task: (store: KeyValueStore) => Promise<Result<Value, CommandError>>,
): Promise<Result<Value, CommandError>> => {
  const endpoints = parseSetting('store', addresses);
  if (endpoints.isErr()) return endpoints.map(() => undefined as never);
  const store = createEtcdStore({ endpoints: endpoints.value });
  try {
    return await task(store);
  } finally {
    await store.close();
  }
};
