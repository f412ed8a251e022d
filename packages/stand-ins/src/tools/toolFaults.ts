import { z } from 'zod';

/** Faults of a tool stand-in. */
export const toolFaultsSchema = z.strictObject({
  /** Delay between the effect and the response, in milliseconds. */
  delayMilliseconds: z.number().min(0),
  /** Number of next calls that get a 503 response and have no effect. */
  failBefore: z.number().int().min(0),
  /** Number of next calls whose connection breaks after the effect, without a response. */
  failAfter: z.number().int().min(0),
  /** Number of next calls that take effect but never get a response. */
  hang: z.number().int().min(0),
  /** Bytes of padding in each response. */
  answerBytes: z.number().int().min(0),
  /** Texts that requests must not contain; requests that do are counted as sightings. */
  markers: z.array(z.string().min(1)),
});

export type ToolFaults = z.infer<typeof toolFaultsSchema>;

/** A change of faults, with one-time actions. */
export const toolFaultsChangeSchema = toolFaultsSchema.partial().extend({
  silenceConnections: z.boolean().optional(),
  breakConnections: z.boolean().optional(),
  /** Whether new connections are refused. */
  refuse: z.boolean().optional(),
});

export type ToolFaultsChange = z.infer<typeof toolFaultsChangeSchema>;

/** Faults of a tool that has none. */
export const NO_TOOL_FAULTS: ToolFaults = {
  delayMilliseconds: 0,
  failBefore: 0,
  failAfter: 0,
  hang: 0,
  answerBytes: 0,
  markers: [],
};
