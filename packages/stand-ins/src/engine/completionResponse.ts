import type { ServerResponse } from 'node:http';
import type { ChatRequest } from './chatRequest';
import type { GenerationSink, GenerationEnd } from './generation';

/** A completion request and the response to which its answer is written. */
export interface CompletionTarget {
  readonly identifier: string;
  readonly chat: ChatRequest;
  readonly response: ServerResponse;
}

const toUsage = (end: GenerationEnd): object => ({
  prompt_tokens: end.promptTokens,
  completion_tokens: end.outputTokens,
  total_tokens: end.promptTokens + end.outputTokens,
  prompt_tokens_details: { cached_tokens: end.cachedTokens },
});

const createStreamSink = ({ identifier, chat, response }: CompletionTarget): GenerationSink => {
  const send = (delta: object, finishReason: string | null, more: object = {}): void => {
    if (!response.headersSent) {
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
        'x-request-id': identifier,
      });
    }
    const choices = [{ index: 0, delta, finish_reason: finishReason }];
    const chunk = { id: identifier, object: 'chat.completion.chunk', model: chat.model, choices };
    response.write(`data: ${JSON.stringify({ ...chunk, ...more })}\n\n`);
  };
  return {
    token: (text) => send({ content: text }, null),
    finished: (end) => {
      send({}, end.finishReason, { usage: toUsage(end) });
      response.end('data: [DONE]\n\n');
    },
  };
};

const createBufferedSink = ({ identifier, chat, response }: CompletionTarget): GenerationSink => {
  const tokens: string[] = [];
  return {
    token: (text) => {
      tokens.push(text);
    },
    finished: (end) => {
      const message = { role: 'assistant', content: tokens.join('') };
      response.writeHead(200, { 'content-type': 'application/json', 'x-request-id': identifier });
      response.end(
        JSON.stringify({
          id: identifier,
          object: 'chat.completion',
          model: chat.model,
          choices: [{ index: 0, message, finish_reason: end.finishReason }],
          usage: toUsage(end),
        }),
      );
    },
  };
};

/** Returns a sink that writes a completion as requested: streamed, or buffered into one body. */
export const createCompletionSink = (parts: CompletionTarget): GenerationSink =>
  parts.chat.stream ? createStreamSink(parts) : createBufferedSink(parts);
