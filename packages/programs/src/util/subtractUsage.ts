import type { Usage } from '../programRecord';

/** Returns the difference of two usages, amount by amount. */
export const subtractUsage = (left: Usage, right: Usage): Usage => ({
  tokens: left.tokens - right.tokens,
  calls: left.calls - right.calls,
  spendMicros: left.spendMicros - right.spendMicros,
});
