import { Agent, request } from 'undici';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { CommandError } from '../commandError';

const REQUEST_TIMEOUT_MILLISECONDS = 10_000;
const FIRST_ERROR_STATUS = 400;

const problemSchema = z.looseObject({
  title: z.string().optional(),
  detail: z.string().optional(),
});

/** A request to an entry's management interface; all such requests are idempotent. */
export interface EntryRequest<Schema extends z.ZodType> {
  readonly address: string;
  readonly method: 'GET' | 'DELETE';
  readonly path: string;
  /** A caller's key or the operators' token. */
  readonly credential?: string | undefined;
  readonly schema: Schema;
}

interface EntryResponse {
  readonly status: number;
  readonly text: string;
}

const send = async (
  { address, method, path, credential }: EntryRequest<z.ZodType>,
  dispatcher: Agent,
): Promise<EntryResponse> => {
  const headers = credential === undefined ? {} : { authorization: `Bearer ${credential}` };
  const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS);
  const response = await request(`${address}${path}`, { method, headers, dispatcher, signal });
  return { status: response.statusCode, text: await response.body.text() };
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

const createRefusedError = (address: string, { status, text }: EntryResponse): CommandError => {
  const problem = problemSchema.safeParse(parseJson(text));
  const detail = problem.success
    ? [problem.data.title, problem.data.detail].filter((part) => part !== undefined).join(': ')
    : '';
  return { kind: 'entry-refused', address, status, detail: detail || 'no reason was given' };
};

/** Sends a request to an entry and parses its response; an empty body is parsed as null. */
export const sendEntryRequest = async <Schema extends z.ZodType>(
  options: EntryRequest<Schema>,
): Promise<Result<z.output<Schema>, CommandError>> => {
  const { address, schema } = options;
  const dispatcher = new Agent({ connections: 1, pipelining: 0 });
  try {
    const response = await send(options, dispatcher);
    if (response.status >= FIRST_ERROR_STATUS) return err(createRefusedError(address, response));
    const parsed = schema.safeParse(response.text === '' ? null : parseJson(response.text));
    if (parsed.success) return ok(parsed.data);
    const detail = 'the response body does not match the expected schema';
    return err({ kind: 'entry-refused', address, status: response.status, detail });
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return err({ kind: 'entry-unreachable', address, detail });
  } finally {
    await dispatcher.destroy();
  }
};
