import type { KeyValueStore, WatchEvent } from '@limpetnotch/store';
import { WatchError } from '@limpetnotch/store';
import { errAsync, okAsync } from 'neverthrow';
import { WatchedStore } from '../support/watchedStore';

/** A store whose watches and lists can be made to fail. */
export class FailingStore {
  readonly inner = new WatchedStore();

  isAway = false;

  /** Whether the next watch finds its revision compacted, so that the prefix is listed again. */
  isCompacted = false;

  get client(): KeyValueStore {
    const { client } = this.inner;
    return {
      ...client,
      list: (prefix) =>
        this.isAway
          ? errAsync({ kind: 'unavailable', detail: 'away' } as const)
          : okAsync(undefined).andThen(() => client.list(prefix)),
      watch: (options) => this.#watch(client, options),
    };
  }

  async *#watch(
    client: KeyValueStore,
    options: Parameters<KeyValueStore['watch']>[0],
  ): AsyncGenerator<WatchEvent> {
    for await (const event of client.watch({ ...options, silenceMilliseconds: 20 })) {
      if (this.isAway) throw new WatchError('lost', 'away');
      if (this.isCompacted) throw new WatchError('compacted', 'compacted');
      yield event;
    }
  }
}
