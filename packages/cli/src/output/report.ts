/** Output of a command: the data with `--json`, otherwise the lines. */
export interface Report {
  readonly data: unknown;
  readonly lines: readonly string[];
}
