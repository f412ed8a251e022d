import type { Fault, PublishError } from '@limpetnotch/declarations';

/** Reason why a command failed. */
export type CommandError =
  | { readonly kind: 'wrong-usage'; readonly messages: readonly string[] }
  | { readonly kind: 'faults'; readonly faults: readonly Fault[] }
  | { readonly kind: 'publish'; readonly error: PublishError }
  /** The object that the command names doesn't exist, or can't be changed this way. */
  | { readonly kind: 'not-applicable'; readonly message: string }
  | { readonly kind: 'store-unreachable'; readonly detail: string }
  | { readonly kind: 'entry-unreachable'; readonly address: string; readonly detail: string }
  | {
      readonly kind: 'entry-refused';
      readonly address: string;
      readonly status: number;
      readonly detail: string;
    };
