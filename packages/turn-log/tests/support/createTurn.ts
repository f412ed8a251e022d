import { create } from '@bufbuild/protobuf';
import type { Turn } from '@limpetnotch/peer-protocol';
import { TurnSchema } from '@limpetnotch/peer-protocol';

/** Creates a turn with texts that are unique to its id. */
export const createTurn = (id: string, change: Partial<Turn> = {}): Turn =>
  create(TurnSchema, {
    organisation: 'north',
    id,
    parentId: '',
    expiresAtMilliseconds: 1_000_000,
    input: Buffer.from(`input of ${id}`),
    program: 'program',
    output: Buffer.from(`output of ${id}`),
    ...change,
  });
