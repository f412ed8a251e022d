import { create } from '@bufbuild/protobuf';
import type { Turn } from '@limpetnotch/peer-protocol';
import { TurnSchema } from '@limpetnotch/peer-protocol';

/** Creates a turn of one program that does not expire during a test. */
export const createTurn = (id: string, parentId = ''): Turn =>
  create(TurnSchema, {
    organisation: 'north',
    id,
    parentId,
    program: 'p1',
    expiresAtMilliseconds: Date.now() + 60_000,
    input: Buffer.from(`input of ${id}`),
    output: Buffer.from(`output of ${id}\n`),
  });
