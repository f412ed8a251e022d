import type { Usage } from '../programRecord';

/** Returns `left` less `right`, amount by amount. */
export const subtractUsage = (left: Usage, right: Usage): Usage => ({
  tokens: left.tokens - right.tokens,
  calls: left.calls - right.calls,
  spendMicros: left.spendMicros - right.spendMicros,
});
