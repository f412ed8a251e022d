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

  /** Answers as long as the process can. */
  @Get('live')
  @HttpCode(OK)
  live(): object {
    return { live: true };
  }

  /** Answers 503 while no calls should come here. */
  @Get('ready')
  async ready(@Res() reply: FastifyReply): Promise<void> {
    const state = this.#readiness.state();
    await reply.status(state.kind === 'ready' ? OK : SERVICE_UNAVAILABLE).send(state);
  }
}
