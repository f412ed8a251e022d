import type { ArgumentsHost, ExceptionFilter } from '@nestjs/common';
import { Catch, HttpException } from '@nestjs/common';
import type { Problem } from '../problems/problem';
import { problemDocument } from '../problems/problem';
import { ProblemException } from './problemException';

/** Reply of fastify, as far as problem documents need it. */
interface ProblemReply {
  status(code: number): ProblemReply;
  header(name: string, value: string): ProblemReply;
  send(payload: string): unknown;
}

const CONTENT_TOO_LARGE = 413;
const CLIENT_ERRORS = 400;
const SERVER_ERRORS = 500;

const statusOf = (error: unknown): number =>
  error instanceof HttpException ? error.getStatus() : SERVER_ERRORS;

/** Turns what was thrown before a call was let in into a problem; nothing ran. */
const problemOfError = (error: unknown): Problem => {
  if (error instanceof ProblemException) return error.problem;
  const status = statusOf(error);
  if (status === CONTENT_TOO_LARGE) {
    return { problem: 'body-too-large', executed: 'no', detail: 'the body is over the limit' };
  }
  if (status >= CLIENT_ERRORS && status < SERVER_ERRORS) {
    return { problem: 'malformed-request', executed: 'no', detail: 'the request cannot be read' };
  }
  return { problem: 'internal-error', executed: 'no', detail: 'the request could not be served' };
};

/** Sends a problem document. */
const sendProblem = async (reply: ProblemReply, problem: Problem): Promise<void> => {
  const document = problemDocument(problem);
  await reply
    .status(document.status)
    .header('content-type', 'application/problem+json')
    .send(JSON.stringify(document));
};

/** Answers what was thrown as a problem document. */
@Catch()
export class ProblemFilter implements ExceptionFilter {
  async catch(error: unknown, host: ArgumentsHost): Promise<void> {
    const reply = host.switchToHttp().getResponse<ProblemReply>();
    await sendProblem(reply, problemOfError(error));
  }
}
