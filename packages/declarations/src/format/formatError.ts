/** Why a stored value of a configuration can't be used, or a configuration can't be stored. */
export type FormatError =
  /** The value doesn't conform to the format; `value` identifies it. */
  | { readonly kind: 'corrupt'; readonly value: string; readonly detail: string }
  /** The value was written by a newer version of the software. */
  | {
      readonly kind: 'newer-format';
      readonly value: string;
      readonly found: number;
      readonly supported: number;
    }
  /** A referenced value is absent. */
  | { readonly kind: 'missing-value'; readonly value: string }
  /** An object, or the index, exceeds the maximum size of a stored value. */
  | {
      readonly kind: 'too-large';
      readonly value: string;
      readonly bytes: number;
      readonly maximumBytes: number;
    };
