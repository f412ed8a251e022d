import type { SoakExchange } from './soakExchange';
import type { SoakResult } from './soakResult';

const formatCounts = <Item>(items: readonly Item[], keyOf: (item: Item) => string): string => {
  const counts = new Map<string, number>();
  items.forEach((item) => counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1));
  const sorted = [...counts].sort(([first], [second]) => (first < second ? -1 : 1));
  return sorted.map(([key, count]) => `${key} ${count}`).join(', ') || 'none';
};

const describeOutcome = ({ record: { outcome } }: SoakExchange): string =>
  outcome.kind === 'answered' ? String(outcome.status) : outcome.kind;

/** Returns the counts of a soak, one per line. */
export const summariseSoak = (result: SoakResult): readonly string[] => {
  const { exchanges, lifetimes, violations } = result;
  const signals = lifetimes.flatMap((lifetime) => lifetime.signals);
  return [
    `requests: ${exchanges.length} (${formatCounts(exchanges, describeOutcome)})`,
    `signals: ${signals.length} (${formatCounts(signals, (one) => `${one.signal} ${one.state}`)})`,
    `processes: ${lifetimes.length}`,
    `lag of the soak: ${Math.round(result.lagMilliseconds)} ms, ${Math.round(result.longestLagMilliseconds)} ms at most`,
    `violations: ${violations.length} (${formatCounts(violations, ({ check }) => check)})`,
  ];
};
