/** Stage of an instance's shutdown. */
export type DrainState =
  | { readonly kind: 'serving' }
  /** The stop signal was received; requests under way and late ones still get their responses. */
  | { readonly kind: 'draining'; readonly sinceMilliseconds: number }
  /** No more requests are accepted. */
  | { readonly kind: 'closed'; readonly sinceMilliseconds: number };
