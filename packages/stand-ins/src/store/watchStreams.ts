import type { ServerResponse } from 'node:http';
import { toWatchEvent, toResponseHeader } from './gatewayResponses';
import type { WatchRequest } from './gatewayRequests';
import { createKeyMatcher } from './createKeyMatcher';
import type { StoredChange, StoreState } from './storeState';

interface OpenWatch {
  readonly response: ServerResponse;
  readonly accepts: (key: string) => boolean;
  readonly notifiesProgress: boolean;
  isSilent: boolean;
}

/** Open watches of the store stand-in; each sends a stream of JSON lines. */
export class WatchStreams {
  readonly #state: StoreState;

  readonly #watches = new Set<OpenWatch>();

  constructor(state: StoreState) {
    this.#state = state;
    state.subscribe((changes) => this.#broadcast(changes));
  }

  get openCount(): number {
    return this.#watches.size;
  }

  /**
   * Starts a watch and sends the changes since its start revision; ends it if that was compacted.
   */
  open(request: WatchRequest, response: ServerResponse): void {
    const watch: OpenWatch = {
      response,
      accepts: createKeyMatcher(request),
      notifiesProgress: request.progress_notify,
      isSilent: false,
    };
    const from = Number(request.start_revision);
    response.writeHead(200, { 'content-type': 'application/json' });
    this.#send(watch, { created: true });
    if (from > 0 && from < this.#state.compactRevision) {
      this.#send(watch, {
        canceled: true,
        compact_revision: String(this.#state.compactRevision),
        cancel_reason: 'required revision has been compacted',
      });
      response.end();
      return;
    }
    this.#watches.add(watch);
    response.once('close', () => this.#watches.delete(watch));
    if (from > 0) this.#sendChanges(watch, this.#state.changesFrom(from));
  }

  /** Sends the current revision to the watches that requested progress notifications. */
  notifyProgress(): void {
    this.#watches.forEach((watch) => {
      if (watch.notifiesProgress) this.#send(watch, {});
    });
  }

  /** Stops the open watches from sending anything, without closing them. */
  silence(): void {
    this.#watches.forEach((watch) => {
      const silenced = watch;
      silenced.isSilent = true;
    });
  }

  #broadcast(changes: readonly StoredChange[]): void {
    this.#watches.forEach((watch) => this.#sendChanges(watch, changes));
  }

  #sendChanges(watch: OpenWatch, changes: readonly StoredChange[]): void {
    const events = changes.filter((change) => watch.accepts(change.entry.key)).map(toWatchEvent);
    if (events.length > 0) this.#send(watch, { events });
  }

  #send(watch: OpenWatch, result: object): void {
    if (watch.isSilent || watch.response.destroyed) return;
    const line = { result: { header: toResponseHeader(this.#state), watch_id: '0', ...result } };
    watch.response.write(`${JSON.stringify(line)}\n`);
  }
}
