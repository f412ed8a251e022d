import { request } from 'undici';
import { z } from 'zod';

const chunkSchema = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().nullish() }) })),
  usage: z.object({ prompt_tokens: z.number(), completion_tokens: z.number() }).nullish(),
});

type Chunk = z.infer<typeof chunkSchema>;

const DATA_PREFIX = 'data: ';
const DONE = '[DONE]';
const FIRST_FAILURE = 300;

const parseLine = (line: string): Chunk | undefined => {
  if (!line.startsWith(DATA_PREFIX)) return undefined;
  const payload = line.slice(DATA_PREFIX.length);
  if (payload === DONE) return undefined;
  return chunkSchema.safeParse(JSON.parse(payload)).data;
};

/** Yields the chunks of a streamed response. */
async function* parseChunks(body: AsyncIterable<unknown>): AsyncIterable<Chunk> {
  let incompleteLine = '';
  for await (const bytes of body) {
    const lines = (incompleteLine + String(bytes)).split('\n');
    incompleteLine = lines.pop() ?? '';
    for (const line of lines) {
      const chunk = parseLine(line);
      if (chunk) yield chunk;
    }
  }
}

/** One message of a conversation. */
export interface ChatMessage {
  readonly role: 'system' | 'user' | 'assistant' | 'tool';
  readonly content: string;
}

/** Result of a model call. */
export interface ChatResult {
  readonly text: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly firstTokenMilliseconds: number;
  readonly milliseconds: number;
  readonly sequence: number;
}

/** Options of {@link AgentCaller}. */
export interface AgentCallerOptions {
  /** Base addresses of the entries; calls go to them in rotation, as behind a load balancer. */
  readonly entries: readonly string[];
  readonly secret: string;
  readonly model: string;
}

/** Calls entries as an agent program does: streamed chat completions, and tools. */
export class AgentCaller {
  readonly #options: AgentCallerOptions;

  #callCount = 0;

  constructor(options: AgentCallerOptions) {
    this.#options = options;
  }

  /** Runs one model call of a program. */
  async chat(program: string, messages: readonly ChatMessage[]): Promise<ChatResult> {
    const startedAt = performance.now();
    const { model } = this.#options;
    const response = await this.#post('/v1/chat/completions', program, {
      model,
      messages,
      stream: true,
      max_tokens: 200,
    });
    let firstTokenMilliseconds = 0;
    let text = '';
    let usage: Chunk['usage'];
    for await (const chunk of parseChunks(response.body)) {
      const content = chunk.choices[0]?.delta.content ?? '';
      if (content !== '' && text === '') firstTokenMilliseconds = performance.now() - startedAt;
      text += content;
      usage = chunk.usage ?? usage;
    }
    return {
      text,
      promptTokens: usage?.prompt_tokens ?? 0,
      outputTokens: usage?.completion_tokens ?? 0,
      firstTokenMilliseconds,
      milliseconds: performance.now() - startedAt,
      sequence: response.sequence,
    };
  }

  /** Calls a tool for a program and resolves to the text of its response. */
  async callTool(
    path: string,
    program: string,
    idempotencyKey: string,
    body: object,
  ): Promise<string> {
    const response = await this.#post(path, program, body, { 'idempotency-key': idempotencyKey });
    return response.body.text();
  }

  /** Ends a program. */
  async endProgram(program: string): Promise<void> {
    const response = await request(`${this.#selectEntry()}/limpetnotch/v1/programs/${program}`, {
      method: 'DELETE',
      headers: { authorization: `Bearer ${this.#options.secret}` },
    });
    await response.body.dump();
    if (response.statusCode >= FIRST_FAILURE) throw new Error(`end: status ${response.statusCode}`);
  }

  async #post(
    path: string,
    program: string,
    body: object,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<{
    readonly body: Awaited<ReturnType<typeof request>>['body'];
    readonly sequence: number;
  }> {
    const response = await request(`${this.#selectEntry()}${path}`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${this.#options.secret}`,
        'content-type': 'application/json',
        'limpetnotch-program': program,
        ...headers,
      },
      body: JSON.stringify(body),
    });
    if (response.statusCode >= FIRST_FAILURE) {
      throw new Error(`${path}: status ${response.statusCode}: ${await response.body.text()}`);
    }
    return { body: response.body, sequence: Number(response.headers['limpetnotch-sequence']) };
  }

  #selectEntry(): string {
    const { entries } = this.#options;
    this.#callCount += 1;
    return entries[this.#callCount % entries.length] ?? '';
  }
}
