import { create } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Turn } from '@limpetnotch/peer-protocol';
import { TurnSchema } from '@limpetnotch/peer-protocol';

const LIFETIME_MILLISECONDS = 60_000;

/** Creates a turn of its own program that expires in a minute. */
export const createTurn = (id: string, change: MessageInitShape<typeof TurnSchema> = {}): Turn =>
  Object.assign(
    create(TurnSchema, {
      organisation: 'north',
      id,
      program: `program of ${id}`,
      expiresAtMilliseconds: Date.now() + LIFETIME_MILLISECONDS,
      input: Buffer.from(`input of ${id}`),
      output: Buffer.from(`output of ${id}`),
    }),
    change,
  );
