import type { Fault, PublishError } from '@limpetnotch/declarations';

/** Why a command did not do what it was asked to. */
export type CommandError =
  | { readonly kind: 'wrong-usage'; readonly messages: readonly string[] }
  | { readonly kind: 'faults'; readonly faults: readonly Fault[] }
  | { readonly kind: 'publish'; readonly error: PublishError }
  /** An object that the command names isn't there, or can't be changed so. */
  | { readonly kind: 'not-applicable'; readonly message: string }
  | { readonly kind: 'store-unreachable'; readonly detail: string }
  | { readonly kind: 'entry-unreachable'; readonly address: string; readonly detail: string }
  | {
      readonly kind: 'entry-refused';
      readonly address: string;
      readonly status: number;
      readonly detail: string;
    };
