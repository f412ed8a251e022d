/** How calls are ordered and placed; the first three are baselines for comparison. */
export type SchedulingPolicy =
  /** First come, first served; rotates among targets with open slots. */
  | { readonly kind: 'round-robin' }
  /** First come, first served; the target with the fewest calls. */
  | { readonly kind: 'least-loaded' }
  /** First come, first served; the target with the longest cached prefix, then the least loaded. */
  | { readonly kind: 'cache-affinity' }
  /** Fair queueing of organisations, least attained service of programs, least expected cost. */
  | { readonly kind: 'limpetnotch' };
