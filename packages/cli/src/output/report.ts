/** What a command prints: the data with `--json`, else the lines. */
export interface Report {
  readonly data: unknown;
  readonly lines: readonly string[];
}
