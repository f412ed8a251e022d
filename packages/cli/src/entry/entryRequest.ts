import { Agent, request } from 'undici';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { CommandError } from '../commandError';

const DEADLINE_MILLISECONDS = 10_000;
const FIRST_ERROR_STATUS = 400;

const problemSchema = z.looseObject({
  title: z.string().optional(),
  detail: z.string().optional(),
});

/** A request of an entry's management interface; all of them are idempotent. */
export interface EntryRequest<Schema extends z.ZodType> {
  readonly address: string;
  readonly method: 'GET' | 'DELETE';
  readonly path: string;
  /** A caller's key or the operators' token. */
  readonly credential?: string | undefined;
  readonly schema: Schema;
}

interface Answer {
  readonly status: number;
  readonly text: string;
}

const send = async (
  { address, method, path, credential }: EntryRequest<z.ZodType>,
  dispatcher: Agent,
): Promise<Answer> => {
  const headers = credential === undefined ? {} : { authorization: `Bearer ${credential}` };
  const signal = AbortSignal.timeout(DEADLINE_MILLISECONDS);
  const answer = await request(`${address}${path}`, { method, headers, dispatcher, signal });
  return { status: answer.statusCode, text: await answer.body.text() };
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

const refusalOf = (address: string, { status, text }: Answer): CommandError => {
  const problem = problemSchema.safeParse(parseJson(text));
  const detail = problem.success
    ? [problem.data.title, problem.data.detail].filter((part) => part !== undefined).join(': ')
    : '';
  return { kind: 'entry-refused', address, status, detail: detail || 'no reason was given' };
};

/** Sends one request to an entry and parses its answer; an empty answer parses as null. */
export const entryRequest = async <Schema extends z.ZodType>(
  options: EntryRequest<Schema>,
): Promise<Result<z.output<Schema>, CommandError>> => {
  const { address, schema } = options;
  const dispatcher = new Agent({ connections: 1, pipelining: 0 });
  try {
    const answer = await send(options, dispatcher);
    if (answer.status >= FIRST_ERROR_STATUS) return err(refusalOf(address, answer));
    const parsed = schema.safeParse(answer.text === '' ? null : parseJson(answer.text));
    if (parsed.success) return ok(parsed.data);
    const detail = 'the answer does not have the expected form';
    return err({ kind: 'entry-refused', address, status: answer.status, detail });
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return err({ kind: 'entry-unreachable', address, detail });
  } finally {
    await dispatcher.destroy();
  }
};
