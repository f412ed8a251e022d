/** Who a caller is, once its key was checked. */
export interface KeyIdentity {
  readonly organisation: string;
  /** Declared name of the key; safe to log. */
  readonly key: string;
  /** First hexadecimal digits of the key's digest; tells keys apart that had the same name. */
  readonly fingerprint: string;
}
