/** Path and text of a file of declarations. */
export interface DeclarationFile {
  /** Path as reported in faults. */
  readonly path: string;
  readonly text: string;
}
