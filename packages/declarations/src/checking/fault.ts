/** Category of a fault. */
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

/** A fault in a set of declarations, with its position and how to correct it. */
export interface Fault {
  readonly file: string;
  /** Line in the file, starting at 1; 0 where the object was not read from a file. */
  readonly line: number;
  /** Kind and name, such as `route/chat`; `document 3` where it has no valid name. */
  readonly object: string;
  readonly problem: FaultProblem;
  readonly message: string;
  /** What the operator can change to correct it. */
  readonly cure: string;
}
