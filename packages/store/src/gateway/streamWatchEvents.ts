import { Client } from 'undici';
import type { WatchEvent, WatchOptions } from '../keyValueStore';
import { decodeBase64 } from '../util/base64';
import { toKeyRange } from '../util/toKeyRange';
import { withDeadline } from '../util/withDeadline';
import { WatchError } from '../watchError';
import type { WatchLine } from './responseSchemas';
import { watchLineSchema } from './responseSchemas';
import { toStoreEntry } from './toStoreEntry';

const STATUS_OK = 200;
/** Longest accepted line: a few values of the largest size in base64. */
const MAXIMUM_LINE_CHARACTERS = 16 * 1_024 * 1_024;

/** Endpoint and limit on silence of a watch. */
export interface WatchConnection {
  readonly endpoint: string;
  /** Time without any line after which the connection counts as silent. */
  readonly silenceMilliseconds: number;
}

const parseLine = (line: string): WatchLine => {
  let json: unknown;
  try {
    json = JSON.parse(line);
  } catch {
    throw new WatchError('malformed', 'a line is not JSON');
  }
  const parsed = watchLineSchema.safeParse(json);
  if (!parsed.success) {
    throw new WatchError('malformed', parsed.error.issues[0]?.message ?? 'unknown');
  }
  return parsed.data.result;
};

const toWatchEvents = (line: WatchLine): readonly WatchEvent[] => {
  if (line.compact_revision > 0) {
    throw new WatchError(
      'compacted',
      `revisions before ${line.compact_revision} have been compacted`,
      line.compact_revision,
    );
  }
  if (line.canceled) throw new WatchError('lost', line.cancel_reason || 'cancelled by the store');
  if (line.events.length === 0) return [{ kind: 'progress', revision: line.header.revision }];
  return line.events.map((event) =>
    event.type === 'DELETE'
      ? { kind: 'removed', key: decodeBase64(event.kv.key), revision: event.kv.mod_revision }
      : { kind: 'put', entry: toStoreEntry(event.kv) },
  );
};

async function* readLines(body: AsyncIterable<Buffer>, silenceMilliseconds: number) {
  const chunks = body[Symbol.asyncIterator]();
  const decoder = new TextDecoder();
  let tail = '';
  for (;;) {
    const chunk = await withDeadline(
      chunks.next(),
      silenceMilliseconds,
      () => new WatchError('silent', `no data received for ${silenceMilliseconds} ms`),
    );
    if (chunk.done) throw new WatchError('lost', 'the store closed the stream');
    const lines = (tail + decoder.decode(chunk.value, { stream: true })).split('\n');
    tail = lines.pop() ?? '';
    if (tail.length > MAXIMUM_LINE_CHARACTERS) throw new WatchError('malformed', 'line too long');
    yield* lines.filter((line) => line.length > 0);
  }
}

const openWatch = async (client: Client, options: WatchOptions, timeoutMilliseconds: number) => {
  const response = client.request({
    method: 'POST',
    path: '/v3/watch',
    headers: { 'content-type': 'application/json' },
    headersTimeout: 0,
    bodyTimeout: 0,
    body: JSON.stringify({
      create_request: {
        ...toKeyRange(options.prefix),
        start_revision: String(options.fromRevision),
        progress_notify: true,
      },
    }),
  });
  // Destroying the connection later must not end the process with an unhandled rejection.
  response.catch(() => undefined);
  return withDeadline(
    response,
    timeoutMilliseconds,
    () => new WatchError('silent', `no response for ${timeoutMilliseconds} ms`),
  );
};

/**
 * Watches a prefix over a connection of its own, so that a new watch never uses a connection that has
 * become unresponsive. Returns when the signal aborts; otherwise throws a {@link WatchError}.
 */
export async function* streamWatchEvents(
  options: WatchOptions,
  { endpoint, silenceMilliseconds }: WatchConnection,
): AsyncGenerator<WatchEvent, void, undefined> {
  const client = new Client(endpoint);
  const stop = (): void => {
    client.destroy().catch(() => undefined);
  };
  options.signal.addEventListener('abort', stop, { once: true });
  try {
    if (options.signal.aborted) return;
    const { statusCode, body } = await openWatch(client, options, silenceMilliseconds);
    body.on('error', () => undefined);
    if (statusCode !== STATUS_OK) throw new WatchError('lost', `status ${statusCode}`);
    for await (const line of readLines(body, silenceMilliseconds)) {
      yield* toWatchEvents(parseLine(line));
    }
  } catch (failure) {
    if (options.signal.aborted) return;
    if (failure instanceof WatchError) throw failure;
    throw new WatchError('lost', failure instanceof Error ? failure.message : String(failure));
  } finally {
    options.signal.removeEventListener('abort', stop);
    stop();
  }
}
