/** One complete event of a stream. */
export interface StreamEvent {
  /** Bytes as received, including the blank line that ends the event. */
  readonly bytes: Buffer;
  /** Undefined if the event has no `id` field. */
  readonly id: string | undefined;
  /** Whether the event has a `data` field, unlike a comment that keeps the connection alive. */
  readonly hasData: boolean;
  /** Whether it has only comment lines. */
  readonly isComment: boolean;
}

const ID_LINE = /^id:[ ]?(.*)$/m;
const DATA_LINE = /^data(?::|\r?$)/m;
/** A non-empty line that is not a comment. */
const FIELD_LINE = /^[^:\r\n]/m;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Returns the index after the blank line that ends the first event, or -1. */
const findEventEnd = (bytes: Buffer, from: number): number => {
  let feed = bytes.indexOf(LINE_FEED, from);
  while (feed >= 0) {
    const next = bytes[feed + 1] === CARRIAGE_RETURN ? feed + 2 : feed + 1;
    if (bytes[next] === LINE_FEED) return next + 1;
    feed = bytes.indexOf(LINE_FEED, feed + 1);
  }
  return -1;
};

const parseEvent = (bytes: Buffer): StreamEvent => {
  const text = bytes.toString('utf8');
  return {
    bytes,
    id: ID_LINE.exec(text)?.[1]?.trim(),
    hasData: DATA_LINE.test(text),
    isComment: !FIELD_LINE.test(text),
  };
};

/** Bytes before a chunk that may start a blank line that the chunk completes. */
const BOUNDARY_OVERLAP_BYTES = 2;

/** Splits the bytes of an event stream into complete events. */
export class EventStreamReader {
  #pending: Buffer[] = [];

  #pendingBytes = 0;

  /** Last pending bytes. */
  #tail: Buffer = Buffer.alloc(0);

  #endsWithData = false;

  /** Whether the last complete event has data; a comment may be followed by further events. */
  get endsWithData(): boolean {
    return this.#endsWithData;
  }

  /** Bytes of the event that is not complete yet. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /** Whether the received bytes end in the middle of an event. */
  get isInsideEvent(): boolean {
    return this.#pendingBytes > 0;
  }

  /** Adds bytes and returns the events that they complete. */
  push(chunk: Buffer): readonly StreamEvent[] {
    if (findEventEnd(Buffer.concat([this.#tail, chunk]), 0) < 0) {
      this.#appendPending(chunk);
      return [];
    }
    const bytes = Buffer.concat([...this.#pending, chunk]);
    this.#clearPending();
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = findEventEnd(bytes, start); end >= 0; end = findEventEnd(bytes, start)) {
      events.push(parseEvent(bytes.subarray(start, end)));
      start = end;
    }
    this.#endsWithData = events.at(-1)?.hasData ?? false;
    this.#appendPending(bytes.subarray(start));
    return events;
  }

  #appendPending(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.#pending.push(bytes);
    this.#pendingBytes += bytes.length;
    this.#tail = Buffer.concat([this.#tail, bytes]).subarray(-BOUNDARY_OVERLAP_BYTES);
  }

  #clearPending(): void {
    this.#pending = [];
    this.#pendingBytes = 0;
    this.#tail = Buffer.alloc(0);
  }
}
