/** Who a caller is, once its key was checked. */
export interface KeyIdentity {
  readonly organisation: string;
  /** Declared name of the key; safe to log. */
  readonly key: string;
}
