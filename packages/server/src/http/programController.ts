import { Controller, Delete, Get, Inject, Req, Res } from '@nestjs/common';
import type { FastifyReply, FastifyRequest } from 'fastify';
import type { Result } from 'neverthrow';
import type { Admission, Caller } from '../entry/admittedCall';
import type { ProgramRequests } from '../entry/programRequests';
import type { Problem } from '../problems/problem';
import { ProblemException } from './problemException';
import { ADMISSION, PROGRAM_REQUESTS } from './tokens';

const PREFIX = '/limpetnotch/v1/programs/';

const unwrap = <Value>(result: Result<Value, Problem>): Value => {
  if (result.isErr()) throw new ProblemException(result.error);
  return result.value;
};

const pathOf = (request: FastifyRequest): string => {
  const [path = ''] = (request.raw.url ?? '').split('?', 1);
  return decodeURI(path.slice(PREFIX.length));
};

const organisationOf = (caller: Caller): string => {
  if (caller.kind === 'organisation') return caller.organisation;
  throw new ProblemException({
    problem: 'key-missing',
    executed: 'no',
    detail: 'programs belong to organisations',
  });
};

/** Reads and ends programs for the organisation whose key came with the request. */
@Controller('limpetnotch/v1/programs')
export class ProgramController {
  readonly #programs: ProgramRequests;

  readonly #admission: Admission;

  constructor(
    @Inject(PROGRAM_REQUESTS) programs: ProgramRequests,
    @Inject(ADMISSION) admission: Admission,
  ) {
    this.#programs = programs;
    this.#admission = admission;
  }

  /** Returns a program with its history. */
  @Get('*')
  async read(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const caller = unwrap(this.#admission.identify(request.raw.rawHeaders));
    const program = { organisation: organisationOf(caller), path: pathOf(request) };
    const json = unwrap(await this.#programs.read(program));
    await reply.header('content-type', 'application/json').send(json);
  }

  /** Ends a program and its sub-agents. */
  @Delete('*')
  async end(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
    const caller = unwrap(this.#admission.identify(request.raw.rawHeaders));
    const program = { organisation: organisationOf(caller), path: pathOf(request) };
    unwrap(await this.#programs.end(program, false));
    await reply.header('content-type', 'application/json').send(JSON.stringify({ ended: true }));
  }
}
