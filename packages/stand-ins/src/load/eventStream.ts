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

/** Problem document that limpetnotch sends. */
export type ProblemDocument = z.infer<typeof problemSchema>;

/** Contents of a streamed completion. */
export interface StreamedCompletion {
  readonly text: string;
  /** Whether the stream ended with `[DONE]`. */
  readonly isComplete: boolean;
  /** Problem that ended the stream. */
  readonly problem: ProblemDocument | undefined;
}

/** Parses a problem document; returns `undefined` if the text is not one. */
export const parseProblem = (text: string): ProblemDocument | undefined => {
  try {
    const parsed = problemSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

const parseContent = (data: string): string => {
  try {
    const parsed = chunkSchema.safeParse(JSON.parse(data));
    return parsed.success ? (parsed.data.choices[0]?.delta.content ?? '') : '';
  } catch {
    return '';
  }
};

/** Parses a streamed completion. */
export const parseEventStream = (stream: string): StreamedCompletion => {
  const data = stream
    .split('\n')
    .filter((line) => line.startsWith('data: '))
    .map((line) => line.slice('data: '.length));
  const last = data.at(-1) ?? '';
  return {
    text: data.map(parseContent).join(''),
    isComplete: last === '[DONE]',
    problem: stream.includes('event: error') ? parseProblem(last) : undefined,
  };
};
