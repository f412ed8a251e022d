import type { KeyedOrigin } from './keyedOrigin';
import type { StreamOrigin } from './streamOrigin';

/** Maximum number of origins; enough for minutes of streams at 100 a second. */
const MAXIMUM_ORIGINS = 16_384;

/** Origins of recent streams; the least recently recorded are evicted. */
export class OriginTable {
  readonly #origins = new Map<string, StreamOrigin>();

  record({ streamKey, origin }: KeyedOrigin): void {
    this.#origins.delete(streamKey);
    this.#origins.set(streamKey, origin);
    if (this.#origins.size <= MAXIMUM_ORIGINS) return;
    const [oldest] = this.#origins.keys();
    if (oldest !== undefined) this.#origins.delete(oldest);
  }

  find(streamKey: string): StreamOrigin | undefined {
    return this.#origins.get(streamKey);
  }
}
