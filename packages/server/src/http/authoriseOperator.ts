import { createHash, timingSafeEqual } from 'node:crypto';
import type { FastifyRequest } from 'fastify';
import type { OperatorService } from './operatorService';
import { ProblemException } from './problemException';

const hash = (text: string): Buffer => createHash('sha256').update(text).digest();

/** Throws a problem unless the request carries the operator token. */
export const authoriseOperator = (request: FastifyRequest, operator: OperatorService): void => {
  const presentedToken = request.headers.authorization?.replace(/^Bearer /i, '') ?? '';
  const token = operator.getOperatorToken();
  if (token !== undefined && timingSafeEqual(hash(presentedToken), hash(token))) return;
  throw new ProblemException({
    problem: 'operator-only',
    executed: 'no',
    detail: 'an operator token is required',
  });
};
