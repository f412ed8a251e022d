import { z } from 'zod';

/** Request for a chat completion, with engine-specific fields for priority, session and resume. */
export const chatRequestSchema = z.object({
  model: z.string(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1),
  max_tokens: z.number().int().positive().optional(),
  stream: z.boolean().default(false),
  /** A lower number runs first. */
  priority: z.number().default(0),
  session_id: z.string().optional(),
  resume: z.object({ request_id: z.string(), from_token: z.number().int().min(0) }).optional(),
});

export type ChatRequest = z.infer<typeof chatRequestSchema>;
