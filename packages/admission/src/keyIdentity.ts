/** Identity of an authenticated caller. */
export interface KeyIdentity {
  readonly organisation: string;
  /** Declared name of the key; safe to log. */
  readonly key: string;
  /** First hexadecimal digits of the key's digest; distinguishes keys that had the same name. */
  readonly fingerprint: string;
}
