import { createHash, timingSafeEqual } from 'node:crypto';
import type { FastifyRequest } from 'fastify';
import type { OperatorDesk } from './operatorDesk';
import { ProblemException } from './problemException';

const digest = (text: string): Buffer => createHash('sha256').update(text).digest();

/** Throws a problem unless the request carries the operators' token. */
export const authoriseOperator = (request: FastifyRequest, desk: OperatorDesk): void => {
  const given = request.headers.authorization?.replace(/^Bearer /i, '') ?? '';
  const token = desk.operatorToken();
  if (token !== undefined && timingSafeEqual(digest(given), digest(token))) return;
  throw new ProblemException({
    problem: 'operator-only',
    executed: 'no',
    detail: 'an operator token is required',
  });
};
