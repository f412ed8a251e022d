/** File on the disk of the log that shows that the log lost no turn, which a wiped disk lacks. */
export interface CompletenessMarker {
  exists(): Promise<boolean>;
  /** Resolves when the marker survives a power loss. */
  write(): Promise<void>;
  /** Resolves when the removal survives a power loss. */
  remove(): Promise<void>;
}
