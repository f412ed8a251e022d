import { createHash, timingSafeEqual } from 'node:crypto';
import { Controller, Delete, Get, Inject, Param, Query, Req } from '@nestjs/common';
import type { FastifyRequest } from 'fastify';
import type { OperatorDesk } from './operatorDesk';
import { ProblemException } from './problemException';
import { OPERATOR_DESK } from './tokens';

const digest = (text: string): Buffer => createHash('sha256').update(text).digest();

/** Serves the operators: status of the instance, programs of any organisation, quarantine. */
@Controller('limpetnotch/v1/operator')
export class OperatorController {
  readonly #desk: OperatorDesk;

  constructor(@Inject(OPERATOR_DESK) desk: OperatorDesk) {
    this.#desk = desk;
  }

  /** Returns the state of the instance. */
  @Get('status')
  status(@Req() request: FastifyRequest): object {
    this.#authorise(request);
    return this.#desk.status();
  }

  /** Lists the requests that are quarantined. */
  @Get('quarantine')
  quarantine(@Req() request: FastifyRequest): object {
    this.#authorise(request);
    return { entries: this.#desk.quarantine() };
  }

  /** Lifts the quarantine of a request. */
  @Delete('quarantine/:digest')
  lift(@Req() request: FastifyRequest, @Param('digest') requestDigest: string): object {
    this.#authorise(request);
    return { lifted: this.#desk.lift(requestDigest) };
  }

  /** Returns a program of an organisation. */
  @Get('programs')
  async program(
    @Req() request: FastifyRequest,
    @Query('organisation') organisation: string,
    @Query('program') path: string,
  ): Promise<object> {
    this.#authorise(request);
    return this.#desk.readProgram({ organisation, path });
  }

  /** Ends a program of an organisation. */
  @Delete('programs')
  async endProgram(
    @Req() request: FastifyRequest,
    @Query('organisation') organisation: string,
    @Query('program') path: string,
  ): Promise<object> {
    this.#authorise(request);
    return this.#desk.endProgram({ organisation, path });
  }

  #authorise(request: FastifyRequest): void {
    const given = request.headers.authorization?.replace(/^Bearer /i, '') ?? '';
    const token = this.#desk.operatorToken();
    if (token !== undefined && timingSafeEqual(digest(given), digest(token))) return;
    throw new ProblemException({
      problem: 'operator-only',
      executed: 'no',
      detail: 'an operator token is required',
    });
  }
}
