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

/** Cuts the bytes of an event stream into whole events. */
export class EventStreamReader {
  #rest: Buffer = Buffer.alloc(0);

  /** Takes bytes and returns the events that they complete. */
  push(chunk: Buffer): readonly StreamEvent[] {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = endOfEvent(bytes, start); end >= 0; end = endOfEvent(bytes, start)) {
      events.push(eventOf(bytes.subarray(start, end)));
      start = end;
    }
    this.#rest = bytes.subarray(start);
    return events;
  }

  /** Whether the bytes so far end in the middle of an event. */
  get isInsideEvent(): boolean {
    return this.#rest.length > 0;
  }
}
