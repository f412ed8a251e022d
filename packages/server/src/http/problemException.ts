import type { Problem } from '../problems/problem';
import { PROBLEMS } from '../problems/problemId';

/** Carries a problem out of a controller to the filter that answers it. */
export class ProblemException extends Error {
  readonly problem: Problem;

  constructor(problem: Problem) {
    super(PROBLEMS[problem.problem].title);
    this.problem = problem;
  }
}
