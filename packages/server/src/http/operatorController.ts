import { Controller, Delete, Get, Inject, Param, Req } from '@nestjs/common';
import type { FastifyRequest } from 'fastify';
import { authoriseOperator } from './authoriseOperator';
import type { OperatorDesk } from './operatorDesk';
import { OPERATOR_DESK } from './tokens';

/** Serves the operators: status of the instance and quarantined requests. */
@Controller('limpetnotch/v1')
export class OperatorController {
  readonly #desk: OperatorDesk;

  constructor(@Inject(OPERATOR_DESK) desk: OperatorDesk) {
    this.#desk = desk;
  }

  /** Returns the state of the instance. */
  @Get('status')
  status(@Req() request: FastifyRequest): object {
    authoriseOperator(request, this.#desk);
    return this.#desk.status();
  }

  /** Lists the requests that are quarantined. */
  @Get('quarantine')
  quarantine(@Req() request: FastifyRequest): object {
    authoriseOperator(request, this.#desk);
    return this.#desk.quarantine();
  }

  /** Lifts the quarantine of a request. */
  @Delete('quarantine/:digest')
  lift(@Req() request: FastifyRequest, @Param('digest') requestDigest: string): object {
    authoriseOperator(request, this.#desk);
    return { lifted: this.#desk.lift(requestDigest) };
  }
}
