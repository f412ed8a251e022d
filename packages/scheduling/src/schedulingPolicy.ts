/** How calls are ordered and placed; the first three are baselines for comparison. */
export type SchedulingPolicy =
  /** First come, first served; targets with room in turn. */
  | { readonly kind: 'round-robin' }
  /** First come, first served; the target with the fewest calls. */
  | { readonly kind: 'least-loaded' }
  /** First come, first served; the target with the longest cached prefix, then the least loaded. */
  | { readonly kind: 'cache-affinity' }
  /** Fair over organisations, least attained service over programs, least expected cost. */
  | { readonly kind: 'limpetnotch' };
