/** Why a stored value of a configuration can't be used, or a configuration can't be stored. */
export type FormatError =
  /** The value isn't what the format says; `value` names it. */
  | { readonly kind: 'corrupt'; readonly value: string; readonly detail: string }
  /** The value was written by a newer version of the software. */
  | {
      readonly kind: 'newer-format';
      readonly value: string;
      readonly found: number;
      readonly supported: number;
    }
  /** A value that the format needs is absent. */
  | { readonly kind: 'missing-value'; readonly value: string }
  /** One object, or the index, is longer than a stored value may be. */
  | {
      readonly kind: 'too-large';
      readonly value: string;
      readonly bytes: number;
      readonly maximumBytes: number;
    };
