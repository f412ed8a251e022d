import { z } from 'zod';
import { parseJson } from '../util/parseJson';

const usageSchema = z.object({
  usage: z.object({
    prompt_tokens: z.number().int().min(0),
    completion_tokens: z.number().int().min(0),
    prompt_tokens_details: z
      .object({ cached_tokens: z.number().int().min(0).optional() })
      .nullish(),
  }),
});

const deltaSchema = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().nullish() }) })),
});

/** Tokens that an engine reported for one call. */
export interface EngineUsage {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly cachedTokens: number;
}

/** Characters of one event, beyond which none is expected to end. */
const MAXIMUM_EVENT_CHARACTERS = 1024 * 1024;

const FRAME_END = '\n\n';
const DATA_PREFIX = 'data:';
const DONE = '[DONE]';

const usageOf = (value: unknown): EngineUsage | undefined => {
  const parsed = usageSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const { usage } = parsed.data;
  return {
    promptTokens: usage.prompt_tokens,
    outputTokens: usage.completion_tokens,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
  };
};

const payloadOf = (frame: string): string | undefined =>
  frame.startsWith(DATA_PREFIX) ? frame.slice(DATA_PREFIX.length).trim() : undefined;

/** One whole server-sent event of an answer. */
export interface AnswerFrame {
  /** Text of the event with its closing blank line. */
  readonly text: string;
  /** Whether it is the closing event. */
  readonly done: boolean;
  /** Whether it carries a token. */
  readonly token: boolean;
}

/** Cuts a stream of server-sent events into whole events and reads their usage. */
export class AnswerReader {
  #rest = '';

  #usage: EngineUsage | undefined;

  #tokens = 0;

  readonly #decoder = new TextDecoder();

  /** Tokens seen so far. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Usage as the engine reported it; `undefined` until it did. */
  get usage(): EngineUsage | undefined {
    return this.#usage;
  }

  /** Adds bytes and returns the events that they complete; throws where an event has no end. */
  read(bytes: Uint8Array): readonly AnswerFrame[] {
    this.#rest += this.#decoder.decode(bytes, { stream: true });
    const frames: AnswerFrame[] = [];
    let end = this.#rest.indexOf(FRAME_END);
    while (end >= 0) {
      frames.push(this.#frame(this.#rest.slice(0, end + FRAME_END.length)));
      this.#rest = this.#rest.slice(end + FRAME_END.length);
      end = this.#rest.indexOf(FRAME_END);
    }
    if (this.#rest.length > MAXIMUM_EVENT_CHARACTERS) throw new Error('an event without end');
    return frames;
  }

  /** Reads the usage of an answer that came whole. */
  readWhole(body: string): void {
    this.#usage = usageOf(parseJson(body)) ?? this.#usage;
    this.#tokens = this.#usage?.outputTokens ?? this.#tokens;
  }

  #frame(text: string): AnswerFrame {
    const payload = payloadOf(text);
    if (payload === undefined) return { text, done: false, token: false };
    if (payload === DONE) return { text, done: true, token: false };
    const value = parseJson(payload);
    this.#usage = usageOf(value) ?? this.#usage;
    const token = AnswerReader.#carriesToken(value);
    if (token) this.#tokens += 1;
    return { text, done: false, token };
  }

  static #carriesToken(value: unknown): boolean {
    const parsed = deltaSchema.safeParse(value);
    return parsed.success && parsed.data.choices.some(({ delta }) => Boolean(delta.content));
  }
}
