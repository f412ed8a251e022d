import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { z } from 'zod';
import type { CommandError } from '../commandError';
import { sendEntryRequest } from './sendEntryRequest';
import type { EntryRequest } from './sendEntryRequest';

/** Sends a request to each entry in turn until one responds. */
export const sendToAnyEntry = async <Schema extends z.ZodType>(
  addresses: readonly string[],
  options: Omit<EntryRequest<Schema>, 'address'>,
): Promise<Result<z.output<Schema>, CommandError>> => {
  let failure: CommandError = {
    kind: 'entry-unreachable',
    address: 'entry',
    detail: 'no address was given',
  };
  for (const address of addresses) {
    const response = await sendEntryRequest({ ...options, address });
    if (response.isOk() || response.error.kind !== 'entry-unreachable') return response;
    failure = response.error;
  }
  return err(failure);
};
