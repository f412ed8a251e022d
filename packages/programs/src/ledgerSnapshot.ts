import { z } from 'zod';
import {
  budgetLimitsSchema,
  callOutcomeSchema,
  endReasonSchema,
  programIdentifierSchema,
  usageSchema,
} from './programRecord';

/** Format version of snapshots; a snapshot of another version is rejected. */
export const SNAPSHOT_FORMAT_VERSION = 1;

/** A call whose intent is recorded, but not its outcome. */
export const callUnderWaySchema = z.object({
  callId: z.string(),
  sequence: z.number().int().min(0),
  idempotencyKey: z.string(),
  requestDigest: z.string(),
  route: z.string(),
  idempotent: z.boolean(),
  reservation: usageSchema,
  /** Number of base64 characters that the body shares with the body of the previous sequence. */
  sharedBodyCharacters: z.number().int().min(0).default(0),
  /** Rest of the request body in base64, after the shared part. */
  requestBodyBase64: z.string(),
  intendedAtMilliseconds: z.number(),
});

/** A call with its outcome, as stored in the program's history. */
export const historyEntrySchema = callUnderWaySchema.extend({
  outcome: callOutcomeSchema,
  finishedAtMilliseconds: z.number(),
});

/** When and why a program ended. */
export const programEndSchema = z.object({
  reason: endReasonSchema,
  endedAtMilliseconds: z.number(),
});

/** State of one program path with its history. */
export const programSnapshotSchema = z.object({
  path: z.string().min(1),
  sessionId: z.string(),
  startedAtMilliseconds: z.number(),
  lastActivityMilliseconds: z.number(),
  history: z.array(historyEntrySchema),
  /**
   * Attempts of the call in progress, the latest last; earlier ones were lost with their owners.
   */
  attempts: z.array(callUnderWaySchema),
  end: programEndSchema.optional(),
});

/** A root program with its sub-agents: the root first, and each parent before its children. */
export const programTreeSnapshotSchema = z.object({
  organisation: z.string().min(1),
  limits: budgetLimitsSchema,
  spent: usageSchema,
  programs: z.array(programSnapshotSchema).min(1),
});

/** Engine memory that a program holds, or held when it ended. */
export const engineMemorySchema = z.object({
  program: programIdentifierSchema,
  /** Name of the target; `*` if an owner was lost before it recorded which target it used. */
  target: z.string(),
  /** Identifies the program's session at the engine; differs when a program path is reused. */
  sessionId: z.string(),
  /** Whether the program has ended, so that the memory must be freed. */
  ended: z.boolean(),
});

/** State of all programs of a partition. */
export const ledgerSnapshotSchema = z.object({
  formatVersion: z.literal(SNAPSHOT_FORMAT_VERSION),
  trees: z.array(programTreeSnapshotSchema),
  engineMemory: z.array(engineMemorySchema),
});

export type CallUnderWay = z.infer<typeof callUnderWaySchema>;
export type HistoryEntry = z.infer<typeof historyEntrySchema>;
export type ProgramEnd = z.infer<typeof programEndSchema>;
export type ProgramSnapshot = z.infer<typeof programSnapshotSchema>;
export type ProgramTreeSnapshot = z.infer<typeof programTreeSnapshotSchema>;
export type HeldEngineMemory = z.infer<typeof engineMemorySchema>;
export type LedgerSnapshot = z.infer<typeof ledgerSnapshotSchema>;
