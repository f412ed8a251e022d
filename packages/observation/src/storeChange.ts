/** A change of one key. */
export interface StoreChange {
  readonly key: string;
  /** Undefined if the key was removed. */
  readonly value: string | undefined;
  /** Revision of the change; 0 if the store's response did not name a readable one. */
  readonly revision: number;
}
