import { All, Controller, Inject, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import type { CallDesk } from '../entry/callDesk';
import { CALL_DESK } from './tokens';

/** Takes every call that is no management request. */
@Controller()
export class CallController {
  readonly #desk: CallDesk;

  constructor(@Inject(CALL_DESK) desk: CallDesk) {
    this.#desk = desk;
  }

  /** Serves one call; the answer is written to the raw response as it comes. */
  @All('*')
  async call(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    reply.hijack();
    const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
    await this.#desk.serve({
      method: request.method,
      pathAndQuery: request.raw.url ?? '/',
      rawHeaders: request.raw.rawHeaders,
      body,
      source: request.ip,
      response: reply.raw,
    });
  }
}
