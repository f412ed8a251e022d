/** What is wrong with a declaration. */
export type FaultProblem =
  | 'too-large'
  | 'invalid-yaml'
  | 'unknown-kind'
  | 'missing-field'
  | 'unknown-field'
  | 'invalid-value'
  | 'impossible-limit'
  | 'duplicate-name'
  | 'dangling-reference'
  | 'budget-cycle'
  | 'limit-above-parent'
  | 'duplicate-route'
  | 'unreachable-route'
  | 'duplicate-key-digest'
  | 'revived-key';

/** One fault of a set of declarations, with where it is and how to mend it. */
export interface Fault {
  readonly file: string;
  /** Line in the file, from 1; 0 where the object did not come from a file. */
  readonly line: number;
  /** Kind and name, such as `route/chat`; `document 3` where it has no usable name. */
  readonly object: string;
  readonly problem: FaultProblem;
  readonly message: string;
  /** What the operator can change to mend it. */
  readonly cure: string;
}
