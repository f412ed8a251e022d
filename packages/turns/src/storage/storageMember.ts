import { z } from 'zod';

/**
 * Key prefix of the members: storage instances that may hold turns, whether or not they are present.
 * Unlike a presence entry, the entry of a member outlives its process.
 */
export const STORAGE_MEMBER_PREFIX = 'limpetnotch/storage-member/';

/** Value of a member. */
export const storageMemberSchema = z.object({ incarnation: z.string().min(1) });
