import type { SchedulingPolicy } from '@limpetnotch/scheduling';

/** The compared policies; the project's own comes last. */
export const POLICIES: readonly SchedulingPolicy[] = [
  { kind: 'round-robin' },
  { kind: 'least-loaded' },
  { kind: 'cache-affinity' },
  { kind: 'limpetnotch' },
];
