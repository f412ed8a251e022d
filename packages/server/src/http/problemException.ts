import type { Problem } from '../problems/problem';
import { PROBLEMS } from '../problems/problemId';

/** Carries a problem from a controller to the filter that responds with it. */
export class ProblemException extends Error {
  readonly problem: Problem;

  constructor(problem: Problem) {
    super(PROBLEMS[problem.problem].title);
    this.problem = problem;
  }
}
