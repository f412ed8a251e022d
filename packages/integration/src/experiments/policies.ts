import type { SchedulingPolicy } from '@limpetnotch/scheduling';

/** The policies that are compared, ours last. */
export const POLICIES: readonly SchedulingPolicy[] = [
  { kind: 'round-robin' },
  { kind: 'least-loaded' },
  { kind: 'cache-affinity' },
  { kind: 'limpetnotch' },
];
