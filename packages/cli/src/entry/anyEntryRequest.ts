import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { z } from 'zod';
import type { CommandError } from '../commandError';
import { entryRequest } from './entryRequest';
import type { EntryRequest } from './entryRequest';

/** Sends a request to the first entry that gives an answer. */
export const anyEntryRequest = async <Schema extends z.ZodType>(
  addresses: readonly string[],
  options: Omit<EntryRequest<Schema>, 'address'>,
): Promise<Result<z.output<Schema>, CommandError>> => {
  let failure: CommandError = { kind: 'entry-unreachable', address: 'entry', detail: 'none given' };
  for (const address of addresses) {
    const answer = await entryRequest({ ...options, address });
    if (answer.isOk() || answer.error.kind !== 'entry-unreachable') return answer;
    failure = answer.error;
  }
  return err(failure);
};
