import { Controller, Delete, Get, Inject, Query, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import type { Result } from 'neverthrow';
import type { Admission } from '../entry/admittedCall';
import type { ProgramRequests } from '../entry/programRequests';
import type { Problem } from '../problems/problem';
import { authoriseOperator } from './authoriseOperator';
import type { OperatorService } from './operatorService';
import { ProblemException } from './problemException';
import { ADMISSION, OPERATOR_DESK, PROGRAM_REQUESTS } from './tokens';

const PATH_PREFIX = '/limpetnotch/v1/programs/';

const unwrap = <Value>(result: Result<Value, Problem>): Value => {
  if (result.isErr()) throw new ProblemException(result.error);
  return result.value;
};

const parseProgramPath = (request: FastifyRequest): string => {
  const [path = ''] = (request.raw.url ?? '').split('?', 1);
  return path.slice(PATH_PREFIX.length);
};

/**
 * Reads and ends programs, either for the organisation that owns the request's key or for
 * operators, who name the organisation.
 */
@Controller('limpetnotch/v1/programs')
export class ProgramController {
  readonly #programs: ProgramRequests;

  readonly #admission: Admission;

  readonly #operator: OperatorService;

  constructor(
    @Inject(PROGRAM_REQUESTS) programs: ProgramRequests,
    @Inject(ADMISSION) admission: Admission,
    @Inject(OPERATOR_DESK) operator: OperatorService,
  ) {
    this.#programs = programs;
    this.#admission = admission;
    this.#operator = operator;
  }

  /** Returns a program with its history. */
  @Get('*')
  async read(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
    @Query('organisation') namedOrganisation?: string,
  ): Promise<void> {
    const organisation = this.#resolveOrganisation(request, namedOrganisation);
    const json = unwrap(
      await this.#programs.read({ organisation, path: parseProgramPath(request) }),
    );
    await reply.header('content-type', 'application/json').send(json);
  }

  /** Ends a program and its sub-agents. */
  @Delete('*')
  async end(
    @Req() request: FastifyRequest,
    @Res() reply: FastifyReply,
    @Query('organisation') namedOrganisation?: string,
  ): Promise<void> {
    const organisation = this.#resolveOrganisation(request, namedOrganisation);
    const byOperator = namedOrganisation !== undefined;
    const program = { organisation, path: parseProgramPath(request) };
    unwrap(await this.#programs.end(program, byOperator));
    await reply.header('content-type', 'application/json').send(JSON.stringify({ ended: true }));
  }

  #resolveOrganisation(request: FastifyRequest, namedOrganisation: string | undefined): string {
    if (namedOrganisation !== undefined) {
      authoriseOperator(request, this.#operator);
      return namedOrganisation;
    }
    const caller = unwrap(this.#admission.identify(request.raw.rawHeaders));
    if (caller.kind === 'organisation') return caller.identity.organisation;
    throw new ProblemException({
      problem: 'key-missing',
      executed: 'no',
      detail: 'programs belong to organisations',
    });
  }
}
