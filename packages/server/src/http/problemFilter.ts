import type { ArgumentsHost, ExceptionFilter } from '@nestjs/common';
import { Catch, HttpException } from '@nestjs/common';
import type { Problem } from '../problems/problem';
import { createProblemDocument } from '../problems/problem';
import { ProblemException } from './problemException';

/** The methods of a Fastify reply that problem documents need. */
interface ProblemReply {
  status(code: number): ProblemReply;
  header(name: string, value: string): ProblemReply;
  send(payload: string): unknown;
}

const CONTENT_TOO_LARGE = 413;
const FIRST_CLIENT_ERROR_STATUS = 400;
const INTERNAL_SERVER_ERROR_STATUS = 500;

const getStatus = (error: unknown): number =>
  error instanceof HttpException ? error.getStatus() : INTERNAL_SERVER_ERROR_STATUS;

/** Converts an error thrown before a call was admitted to a problem; the call did not run. */
const toProblem = (error: unknown): Problem => {
  if (error instanceof ProblemException) return error.problem;
  const status = getStatus(error);
  if (status === CONTENT_TOO_LARGE) {
    return { problem: 'body-too-large', executed: 'no', detail: 'the body is over the limit' };
  }
  if (status >= FIRST_CLIENT_ERROR_STATUS && status < INTERNAL_SERVER_ERROR_STATUS) {
    return { problem: 'malformed-request', executed: 'no', detail: 'the request cannot be read' };
  }
  return { problem: 'internal-error', executed: 'no', detail: 'the request could not be served' };
};

/** Sends a problem document. */
const sendProblem = async (reply: ProblemReply, problem: Problem): Promise<void> => {
  const document = createProblemDocument(problem);
  await reply
    .status(document.status)
    .header('content-type', 'application/problem+json')
    .send(JSON.stringify(document));
};

/** Responds to thrown errors with a problem document. */
@Catch()
export class ProblemFilter implements ExceptionFilter {
  async catch(error: unknown, host: ArgumentsHost): Promise<void> {
    const reply = host.switchToHttp().getResponse<ProblemReply>();
    await sendProblem(reply, toProblem(error));
  }
}
