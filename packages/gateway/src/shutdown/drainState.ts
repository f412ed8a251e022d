/** How far an instance has come in its shutdown. */
export type DrainState =
  | { readonly kind: 'serving' }
  /** Told to stop; requests under way, and late ones, still get their answers. */
  | { readonly kind: 'draining'; readonly sinceMilliseconds: number }
  /** No request is taken any more. */
  | { readonly kind: 'closed'; readonly sinceMilliseconds: number };
