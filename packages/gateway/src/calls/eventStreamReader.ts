/** One whole event of a stream. */
export interface StreamEvent {
  /** Bytes as they came, with the blank line that ends them. */
  readonly bytes: Buffer;
  /** Undefined where the event names none. */
  readonly id: string | undefined;
  /** Whether it carries data, unlike a comment that keeps its connection open. */
  readonly hasData: boolean;
}

const ID_LINE = /^id:[ ]?(.*)$/m;
const DATA_LINE = /^data(?::|\r?$)/m;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Returns the index after the blank line that ends the first event, or -1. */
const endOfEvent = (bytes: Buffer, from: number): number => {
  let feed = bytes.indexOf(LINE_FEED, from);
  while (feed >= 0) {
    const next = bytes[feed + 1] === CARRIAGE_RETURN ? feed + 2 : feed + 1;
    if (bytes[next] === LINE_FEED) return next + 1;
    feed = bytes.indexOf(LINE_FEED, feed + 1);
  }
  return -1;
};

const eventOf = (bytes: Buffer): StreamEvent => {
  const text = bytes.toString('utf8');
  return { bytes, id: ID_LINE.exec(text)?.[1]?.trim(), hasData: DATA_LINE.test(text) };
};

/** Bytes before a chunk that may begin the blank line that the chunk completes. */
const BOUNDARY_OVERLAP_BYTES = 2;

/** Cuts the bytes of an event stream into whole events. */
export class EventStreamReader {
  #pending: Buffer[] = [];

  #pendingBytes = 0;

  /** Last bytes of those pending. */
  #tail: Buffer = Buffer.alloc(0);

  /** Bytes of the event that is not whole yet. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /** Whether the bytes so far end in the middle of an event. */
  get isInsideEvent(): boolean {
    return this.#pendingBytes > 0;
  }

  /** Takes bytes and returns the events that they complete. */
  push(chunk: Buffer): readonly StreamEvent[] {
    if (endOfEvent(Buffer.concat([this.#tail, chunk]), 0) < 0) {
      this.#keep(chunk);
      return [];
    }
    const bytes = Buffer.concat([...this.#pending, chunk]);
    this.#forget();
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = endOfEvent(bytes, start); end >= 0; end = endOfEvent(bytes, start)) {
      events.push(eventOf(bytes.subarray(start, end)));
      start = end;
    }
    this.#keep(bytes.subarray(start));
    return events;
  }

  #keep(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.#pending.push(bytes);
    this.#pendingBytes += bytes.length;
    this.#tail = Buffer.concat([this.#tail, bytes]).subarray(-BOUNDARY_OVERLAP_BYTES);
  }

  #forget(): void {
    this.#pending = [];
    this.#pendingBytes = 0;
    this.#tail = Buffer.alloc(0);
  }
}
