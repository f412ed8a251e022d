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

/** Maximum length of one event; a longer one is treated as endless. */
const MAXIMUM_EVENT_CHARACTERS = 1024 * 1024;

const EVENT_END = '\n\n';
const DATA_PREFIX = 'data:';
const DONE_PAYLOAD = '[DONE]';

const parseUsage = (value: unknown): EngineUsage | undefined => {
  const parsed = usageSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const { usage } = parsed.data;
  return {
    promptTokens: usage.prompt_tokens,
    outputTokens: usage.completion_tokens,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
  };
};

const parsePayload = (event: string): string | undefined =>
  event.startsWith(DATA_PREFIX) ? event.slice(DATA_PREFIX.length).trim() : undefined;

/** One complete server-sent event of an answer. */
export interface AnswerEvent {
  /** Text of the event with its closing blank line. */
  readonly text: string;
  /** Whether it is the closing event. */
  readonly isLast: boolean;
  /** Whether it carries a token. */
  readonly carriesToken: boolean;
}

/** Splits a stream into complete server-sent events and reads their usage. */
export class AnswerReader {
  #pending = '';

  #usage: EngineUsage | undefined;

  #tokens = 0;

  readonly #decoder = new TextDecoder();

  /** Number of tokens received. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Usage reported by the engine; `undefined` until it is reported. */
  get usage(): EngineUsage | undefined {
    return this.#usage;
  }

  /** Adds bytes and returns the events that they complete; throws if an event is too long. */
  read(bytes: Uint8Array): readonly AnswerEvent[] {
    this.#pending += this.#decoder.decode(bytes, { stream: true });
    const events: AnswerEvent[] = [];
    let end = this.#pending.indexOf(EVENT_END);
    while (end >= 0) {
      events.push(this.#parseEvent(this.#pending.slice(0, end + EVENT_END.length)));
      this.#pending = this.#pending.slice(end + EVENT_END.length);
      end = this.#pending.indexOf(EVENT_END);
    }
    if (this.#pending.length > MAXIMUM_EVENT_CHARACTERS) throw new Error('an event without end');
    return events;
  }

  /** Reads the usage from the complete body of an answer that is not a stream. */
  readBody(body: string): void {
    this.#usage = parseUsage(parseJson(body)) ?? this.#usage;
    this.#tokens = this.#usage?.outputTokens ?? this.#tokens;
  }

  #parseEvent(text: string): AnswerEvent {
    const payload = parsePayload(text);
    if (payload === undefined) return { text, isLast: false, carriesToken: false };
    if (payload === DONE_PAYLOAD) return { text, isLast: true, carriesToken: false };
    const value = parseJson(payload);
    this.#usage = parseUsage(value) ?? this.#usage;
    const token = AnswerReader.#carriesToken(value);
    if (token) this.#tokens += 1;
    return { text, isLast: false, carriesToken: token };
  }

  static #carriesToken(value: unknown): boolean {
    const parsed = deltaSchema.safeParse(value);
    return parsed.success && parsed.data.choices.some(({ delta }) => Boolean(delta.content));
  }
}
