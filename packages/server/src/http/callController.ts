import { All, Controller, Inject, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import type { CallService } from '../entry/callService';
import { CALL_DESK } from './tokens';

/** Handles every call that is not a management request. */
@Controller()
export class CallController {
  readonly #calls: CallService;

  constructor(@Inject(CALL_DESK) calls: CallService) {
    this.#calls = calls;
  }

  /** Serves one call; the answer is written to the raw response as it arrives. */
  @All('*')
  async call(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    reply.hijack();
    const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
    await this.#calls.serve({
      method: request.method,
      pathAndQuery: request.raw.url ?? '/',
      rawHeaders: request.raw.rawHeaders,
      body,
      source: request.ip,
      response: reply.raw,
    });
  }
}
