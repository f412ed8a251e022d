/** Names a program within all organisations; all turns of a program have the same holders. */
export interface ProgramKey {
  readonly organisation: string;
  /** Empty for turns without a program, which are placed by their organisation alone. */
  readonly program: string;
}
