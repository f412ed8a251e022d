import type { Usage } from '../programRecord';

/** Returns the sum of two usages. */
export const addUsage = (left: Usage, right: Usage): Usage => ({
  tokens: left.tokens + right.tokens,
  calls: left.calls + right.calls,
  spendMicros: left.spendMicros + right.spendMicros,
});
