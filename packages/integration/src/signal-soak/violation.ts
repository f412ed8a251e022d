/** A promise that was broken, with what shows it. */
export interface Violation {
  readonly check: string;
  /** Name of the process. */
  readonly lifetime: string;
  readonly requestId?: string;
  readonly text: string;
}
