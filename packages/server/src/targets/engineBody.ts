import type { ChatRequest } from '../owner/chatRequest';

/** Place in a cut stream from which another attempt goes on. */
export interface ResumePoint {
  readonly requestId: string;
  readonly fromToken: number;
}

/** What the owner adds to a chat request for an engine. */
export interface EngineBodyOptions {
  readonly chat: ChatRequest;
  readonly maximumOutputTokens: number;
  /** Priority among the engine's calls; a lower number runs first. */
  readonly priority: number;
  readonly sessionId: string;
  readonly resume: ResumePoint | undefined;
}

/** Builds the body that an engine gets: the caller's, with the output capped to the reservation. */
export const engineBody = (options: EngineBodyOptions): Uint8Array => {
  const { chat, maximumOutputTokens, priority, sessionId, resume } = options;
  const { max_completion_tokens: dropped, ...rest } = chat;
  const body = {
    ...rest,
    max_tokens: maximumOutputTokens,
    priority,
    session_id: sessionId,
    ...(chat.stream ? { stream_options: { include_usage: true } } : {}),
    ...(resume ? { resume: { request_id: resume.requestId, from_token: resume.fromToken } } : {}),
  };
  return Buffer.from(JSON.stringify(body));
};
