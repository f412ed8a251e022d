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

/** Returns the digests of requests that were refused, as other requests have put them in quarantine. */
const quarantinedDigests = (lines: readonly LogLine[]): ReadonlySet<unknown> =>
  new Set(
    lines
      .filter(({ refusal, digest }) => refusal === 'quarantined' && digest !== undefined)
      .map(({ digest }) => digest),
  );

const isOfQuarantine = ({ message }: LogLine): boolean => message.startsWith('quarantine.');

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
  const digests = quarantinedDigests(sorted.filter((line) => names(line, id)));
  const lines = sorted.filter(
    (line) => names(line, id) || (isOfQuarantine(line) && digests.has(line.digest)),
  );
  const last = lines.filter((line) => names(line, id)).at(-1);
  const causes = lines.filter((line) => names(line, id)).flatMap((line) => causeOf(line) ?? []);
  return {
    id,
    lines,
    beliefs: last ? beliefsBefore(sorted, last) : [],
    cause: causes.length === 0 ? undefined : [...new Set(causes.slice(-2))].join('; '),
  };
};
