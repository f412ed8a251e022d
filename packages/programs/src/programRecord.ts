import { z } from 'zod';

/** Identifies a program by its organisation and its path, from the root's name, joined by `/`. */
export const programIdentifierSchema = z.object({
  organisation: z.string().min(1),
  /** For example `survey-17`, or `survey-17/estimate-1` for its sub-agent. */
  path: z.string().min(1),
});

/** Amounts that a call may spend or has spent. */
export const usageSchema = z.object({
  tokens: z.number().int().min(0),
  calls: z.number().int().min(0),
  spendMicros: z.number().int().min(0),
});

/** Limits of a root program together with all its sub-agents; an absent limit does not apply. */
export const budgetLimitsSchema = z.object({
  tokens: z.number().int().positive().optional(),
  calls: z.number().int().positive().optional(),
  spendMicros: z.number().int().positive().optional(),
  wallTimeMilliseconds: z.number().positive().optional(),
});

/** Whether the target executed a call. */
export const executedSchema = z.enum(['no', 'yes', 'unknown']);

/** Complete response of a target, as stored and replayed. */
export const answerSchema = z.object({
  status: z.number().int(),
  contentType: z.string(),
  /** Body in base64, which preserves any bytes. */
  bodyBase64: z.string(),
});

/** How a call ended. */
export const callOutcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('answered'), answer: answerSchema, usage: usageSchema }),
  z.object({
    kind: z.literal('failed'),
    executed: executedSchema,
    /** Short identifier of the problem, such as `target-unreachable`. */
    problem: z.string(),
    detail: z.string(),
    usage: usageSchema,
  }),
]);

/** Why a program ended. */
export const endReasonSchema = z.enum([
  'caller',
  'budget',
  'idle',
  'caller-gone',
  'operator',
  'single-call',
]);

/** One entry of a partition's journal. */
export const programRecordSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('program-started'),
    program: programIdentifierSchema,
    /** Identifies the program's session at engines; differs when a program path is reused. */
    sessionId: z.string(),
    limits: budgetLimitsSchema,
    startedAtMilliseconds: z.number(),
  }),
  z.object({
    kind: z.literal('call-intended'),
    program: programIdentifierSchema,
    callId: z.string(),
    /** Attempt of the same call, lost with an earlier owner, that this one replaces. */
    lostCallId: z.string().optional(),
    sequence: z.number().int().min(0),
    idempotencyKey: z.string(),
    /** SHA-256 of method, path and body. */
    requestDigest: z.string(),
    route: z.string(),
    idempotent: z.boolean(),
    reservation: usageSchema,
    /** Number of base64 characters that the body shares with the body of the previous sequence. */
    sharedBodyCharacters: z.number().int().min(0).default(0),
    /** Rest of the request body in base64, after the shared part; part of the program's history. */
    requestBodyBase64: z.string(),
    intendedAtMilliseconds: z.number(),
  }),
  z.object({
    kind: z.literal('call-finished'),
    program: programIdentifierSchema,
    callId: z.string(),
    outcome: callOutcomeSchema,
    finishedAtMilliseconds: z.number(),
  }),
  z.object({
    kind: z.literal('program-ended'),
    program: programIdentifierSchema,
    reason: endReasonSchema,
    endedAtMilliseconds: z.number(),
  }),
  z.object({
    kind: z.literal('memory-held'),
    program: programIdentifierSchema,
    /** Name of the engine target that caches the program's prefix; `*` if unknown. */
    target: z.string(),
    /** Identifies the program's session at the engine. */
    sessionId: z.string(),
  }),
  z.object({
    kind: z.literal('memory-freed'),
    program: programIdentifierSchema,
    target: z.string(),
    sessionId: z.string(),
  }),
]);

export type ProgramIdentifier = z.infer<typeof programIdentifierSchema>;
export type Usage = z.infer<typeof usageSchema>;
export type BudgetLimits = z.infer<typeof budgetLimitsSchema>;
export type Executed = z.infer<typeof executedSchema>;
export type Answer = z.infer<typeof answerSchema>;
export type CallOutcome = z.infer<typeof callOutcomeSchema>;
export type EndReason = z.infer<typeof endReasonSchema>;
export type ProgramRecord = z.infer<typeof programRecordSchema>;
