import { z } from 'zod';

const chunkSchema = z.object({
  choices: z.array(z.object({ delta: z.object({ content: z.string().nullish() }) })).default([]),
});

const problemSchema = z.object({
  type: z.string(),
  status: z.number(),
  detail: z.string().default(''),
  executed: z.enum(['no', 'yes', 'unknown']),
});

/** Problem document as limpetnotch sends it. */
export type ProblemAnswer = z.infer<typeof problemSchema>;

/** What a streamed completion held. */
export interface StreamedCompletion {
  readonly text: string;
  /** Whether the stream ended as it should. */
  readonly isWhole: boolean;
  /** Problem that ended the stream. */
  readonly problem: ProblemAnswer | undefined;
}

/** Parses a problem document; `undefined` where the text is none. */
export const parseProblem = (text: string): ProblemAnswer | undefined => {
  try {
    const parsed = problemSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

const contentOf = (data: string): string => {
  try {
    const parsed = chunkSchema.safeParse(JSON.parse(data));
    return parsed.success ? (parsed.data.choices[0]?.delta.content ?? '') : '';
  } catch {
    return '';
  }
};

/** Reads the text of a streamed completion. */
export const parseEventStream = (stream: string): StreamedCompletion => {
  const data = stream
    .split('\n')
    .filter((line) => line.startsWith('data: '))
    .map((line) => line.slice('data: '.length));
  const last = data.at(-1) ?? '';
  return {
    text: data.map(contentOf).join(''),
    isWhole: last === '[DONE]',
    problem: stream.includes('event: error') ? parseProblem(last) : undefined,
  };
};
