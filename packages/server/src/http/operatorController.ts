import { Controller, Delete, Get, Inject, Param, Req } from '@nestjs/common';
import type { FastifyRequest } from 'fastify';
import { authoriseOperator } from './authoriseOperator';
import type { OperatorService } from './operatorService';
import { OPERATOR_DESK } from './tokens';

/** Serves operators: status of the instance and quarantined requests. */
@Controller('limpetnotch/v1')
export class OperatorController {
  readonly #operator: OperatorService;

  constructor(@Inject(OPERATOR_DESK) operator: OperatorService) {
    this.#operator = operator;
  }

  /** Returns the status of the instance. */
  @Get('status')
  status(@Req() request: FastifyRequest): object {
    authoriseOperator(request, this.#operator);
    return this.#operator.getStatus();
  }

  /** Lists the quarantined requests. */
  @Get('quarantine')
  quarantine(@Req() request: FastifyRequest): object {
    authoriseOperator(request, this.#operator);
    return this.#operator.listQuarantine();
  }

  /** Lifts the quarantine of a request. */
  @Delete('quarantine/:digest')
  lift(@Req() request: FastifyRequest, @Param('digest') requestDigest: string): object {
    authoriseOperator(request, this.#operator);
    return { lifted: this.#operator.liftQuarantine(requestDigest) };
  }
}
