import { z } from 'zod';

/** Faults of a tool stand-in. */
export const toolFaultsSchema = z.strictObject({
  /** Time between the effect and the answer, in milliseconds. */
  delayMilliseconds: z.number().min(0),
  /** Next calls that are refused with 503 before the effect. */
  failBefore: z.number().int().min(0),
  /** Next calls whose connection breaks after the effect, without an answer. */
  failAfter: z.number().int().min(0),
  /** Next calls that have their effect and are never answered. */
  hang: z.number().int().min(0),
  /** Bytes that are added to each answer. */
  answerBytes: z.number().int().min(0),
  /** Texts that must not arrive; those that do are counted as sightings. */
  markers: z.array(z.string().min(1)),
});

export type ToolFaults = z.infer<typeof toolFaultsSchema>;

/** A change of faults, with the actions that are done once. */
export const toolFaultsChangeSchema = toolFaultsSchema.partial().extend({
  silenceConnections: z.boolean().optional(),
  breakConnections: z.boolean().optional(),
  /** Whether new connections are refused. */
  refuse: z.boolean().optional(),
});

export type ToolFaultsChange = z.infer<typeof toolFaultsChangeSchema>;

/** A tool without faults. */
export const NO_TOOL_FAULTS: ToolFaults = {
  delayMilliseconds: 0,
  failBefore: 0,
  failAfter: 0,
  hang: 0,
  answerBytes: 0,
  markers: [],
};
