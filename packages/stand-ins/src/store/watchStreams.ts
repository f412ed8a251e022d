import type { ServerResponse } from 'node:http';
import { eventOf, headerOf } from './gatewayAnswers';
import type { WatchRequest } from './gatewayRequests';
import { keyMatcher } from './keyMatcher';
import type { StoredChange, StoreState } from './storeState';

interface OpenWatch {
  readonly response: ServerResponse;
  readonly accepts: (key: string) => boolean;
  readonly notifiesProgress: boolean;
  isSilent: boolean;
}

/** The open watches of the store stand-in, each a stream of JSON lines. */
export class WatchStreams {
  readonly #state: StoreState;

  readonly #watches = new Set<OpenWatch>();

  constructor(state: StoreState) {
    this.#state = state;
    state.subscribe((changes) => this.#broadcast(changes));
  }

  get waiting(): number {
    return this.#watches.size;
  }

  /** Starts a watch and sends what happened since the revision that it asks for. */
  open(request: WatchRequest, response: ServerResponse): void {
    const watch: OpenWatch = {
      response,
      accepts: keyMatcher(request),
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

  /** Sends the current revision to the watches that asked for progress. */
  notifyProgress(): void {
    this.#watches.forEach((watch) => {
      if (watch.notifiesProgress) this.#send(watch, {});
    });
  }

  /** Stops the open watches from passing anything, without closing them. */
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
    const events = changes.filter((change) => watch.accepts(change.entry.key)).map(eventOf);
    if (events.length > 0) this.#send(watch, { events });
  }

  #send(watch: OpenWatch, result: object): void {
    if (watch.isSilent || watch.response.destroyed) return;
    const line = { result: { header: headerOf(this.#state), watch_id: '0', ...result } };
    watch.response.write(`${JSON.stringify(line)}\n`);
  }
}
