/** A violated guarantee, with its evidence. */
export interface Violation {
  readonly check: string;
  /** Name of the process. */
  readonly lifetime: string;
  readonly requestId?: string;
  readonly text: string;
}
