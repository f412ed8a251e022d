import type { Result } from 'neverthrow';
import { z } from 'zod';
import type { CommandError } from '../commandError';
import { describeCommandError } from '../describeCommandError';
import { STATUS_PATH } from './entryPaths';
import { sendEntryRequest } from './sendEntryRequest';

const statusSchema = z.looseObject({
  instance: z.string().optional(),
  ready: z.boolean().optional(),
  revision: z.number().optional(),
  partitions: z.union([z.number(), z.array(z.unknown())]).optional(),
});

/** State of one entry, or the reason why it could not be read. */
export type EntryStatus =
  | {
      readonly kind: 'answered';
      readonly address: string;
      readonly status: z.infer<typeof statusSchema>;
    }
  | { readonly kind: 'failed'; readonly address: string; readonly reason: string };

/** Queries an entry for its state. */
export const readEntryStatus = async (
  address: string,
  credential: string | undefined,
): Promise<EntryStatus> => {
  const response: Result<z.infer<typeof statusSchema>, CommandError> = await sendEntryRequest({
    address,
    method: 'GET',
    path: STATUS_PATH,
    credential,
    schema: statusSchema,
  });
  return response.match(
    (status): EntryStatus => ({ kind: 'answered', address, status }),
    (error): EntryStatus => ({
      kind: 'failed',
      address,
      reason: describeCommandError(error).join(' '),
    }),
  );
};
