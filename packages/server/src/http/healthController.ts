import { Controller, Get, HttpCode, Inject, Res } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import type { Readiness } from './readiness';
import { READINESS } from './tokens';

const OK = 200;
const SERVICE_UNAVAILABLE = 503;

/** Liveness and readiness of the instance, for the platform. */
@Controller('healthz')
export class HealthController {
  readonly #readiness: Readiness;

  constructor(@Inject(READINESS) readiness: Readiness) {
    this.#readiness = readiness;
  }

  /** Responds as long as the process is able to. */
  @Get('live')
  @HttpCode(OK)
  live(): object {
    return { live: true };
  }

  /** Responds with 503 while the instance should not receive calls. */
  @Get('ready')
  async ready(@Res() reply: FastifyReply): Promise<void> {
    const state = this.#readiness.state();
    await reply.status(state.kind === 'ready' ? OK : SERVICE_UNAVAILABLE).send(state);
  }
}
