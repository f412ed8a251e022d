/** One file of declarations, as it was read. */
export interface DeclarationFile {
  /** Path that faults name. */
  readonly path: string;
  readonly text: string;
}
