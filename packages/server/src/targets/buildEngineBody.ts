import type { ChatRequest } from '../owner/chatRequest';

/** Position in an interrupted stream at which another attempt resumes. */
export interface ResumePoint {
  readonly requestId: string;
  readonly fromToken: number;
}

/** A chat request and the members that the owner adds for an engine. */
export interface EngineBodyOptions {
  readonly chat: ChatRequest;
  readonly maximumOutputTokens: number;
  /** Priority among the calls of the engine; lower numbers run first. */
  readonly priority: number;
  readonly sessionId: string;
  readonly resume: ResumePoint | undefined;
}

/** Builds the body sent to an engine: the caller's, with the output limited to the reservation. */
export const buildEngineBody = (options: EngineBodyOptions): Uint8Array => {
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
