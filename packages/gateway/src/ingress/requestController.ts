import { All, Controller, Inject, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import type { RequestHandler } from './requestHandler';
import { REQUEST_HANDLER } from './requestHandler';

/** Passes every request to the handler, with its raw path and body. */
@Controller()
export class RequestController {
  readonly #handle: RequestHandler;

  constructor(@Inject(REQUEST_HANDLER) handle: RequestHandler) {
    this.#handle = handle;
  }

  @All()
  async serve(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    reply.hijack();
    request.raw.url = request.originalUrl;
    await this.#handle(request.raw, reply.raw);
  }
}
