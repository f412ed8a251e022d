import { causeOf } from './causeOf';
import type { LogLine } from './logLine';

/** Lines that tell what an instance believed, whatever request came. */
const BELIEFS: ReadonlySet<string> = new Set([
  'configuration.read',
  'gateway.draining',
  'gateway.started',
  'log.dropped',
  'membership.members',
  'store.watch-lost',
  'store.watch-regained',
  'targets.changed',
  'targets.listed',
  'targets.removed',
]);

/** The latest belief of each kind counts, as far back as this, in milliseconds. */
const BELIEF_AGE_MILLISECONDS = 60_000;

/** What the logs say of a request or a program. */
export interface Explanation {
  readonly id: string;
  /** Lines that name it, oldest first. */
  readonly lines: readonly LogLine[];
  /** What the instance of the last line believed then: the latest line of each kind. */
  readonly beliefs: readonly LogLine[];
  /** Why it ended as it did; undefined where no line says so. */
  readonly cause: string | undefined;
}

const timeOf = ({ time }: LogLine): number => Date.parse(time);

const byTime = (first: LogLine, second: LogLine): number => timeOf(first) - timeOf(second);

const names = (line: LogLine, id: string): boolean =>
  line.request === id || line.program === id || String(line.program).endsWith(`/${id}`);

const beliefsBefore = (lines: readonly LogLine[], last: LogLine): readonly LogLine[] => {
  const latest = new Map<string, LogLine>();
  lines
    .filter(({ instance, message }) => instance === last.instance && BELIEFS.has(message))
    .filter((line) => {
      const age = timeOf(last) - timeOf(line);
      return age >= 0 && age <= BELIEF_AGE_MILLISECONDS;
    })
    .forEach((line) => latest.set(line.message, line));
  return [...latest.values()].sort(byTime);
};

/** Collects what happened to a request, or to all requests of a program, and why. */
export const explainRequest = (all: readonly LogLine[], id: string): Explanation => {
  const sorted = [...all].sort(byTime);
  const lines = sorted.filter((line) => names(line, id));
  const last = lines.at(-1);
  const causes = lines.flatMap((line) => causeOf(line) ?? []);
  return {
    id,
    lines,
    beliefs: last ? beliefsBefore(sorted, last) : [],
    cause: causes.length === 0 ? undefined : [...new Set(causes.slice(-2))].join('; '),
  };
};
