import { describeCause } from './describeCause';
import type { LogLine } from './logLine';

/** Messages that record state known to an instance, independent of any request. */
const STATE_MESSAGES: ReadonlySet<string> = new Set([
  'configuration.read',
  'gateway.draining',
  'gateway.started',
  'limits.changed',
  'limits.ended',
  'limits.learned',
  'limits.malformed',
  'log.dropped',
  'membership.members',
  'store.watch-lost',
  'store.watch-regained',
  'targets.changed',
  'targets.listed',
  'targets.removed',
]);

/** Maximum age of a state line relative to the last line that names the request. */
const MAXIMUM_STATE_AGE_MILLISECONDS = 60_000;

/** History of a request or a program according to the logs. */
export interface Explanation {
  readonly id: string;
  /** Lines that name it, oldest first, with quarantine lines of the same request digest. */
  readonly lines: readonly LogLine[];
  /** State known to the instance at its last line: the latest line of each message. */
  readonly beliefs: readonly LogLine[];
  /** Why it ended as it did; undefined if no line states a cause. */
  readonly cause: string | undefined;
}

const toTimestampMilliseconds = ({ time }: LogLine): number => Date.parse(time);

const compareByTime = (first: LogLine, second: LogLine): number =>
  toTimestampMilliseconds(first) - toTimestampMilliseconds(second);

const mentionsId = (line: LogLine, id: string): boolean =>
  line.request === id || line.program === id || String(line.program).endsWith(`/${id}`);

/** Collects digests of rejected requests whose quarantine was caused by other requests. */
const collectQuarantinedDigests = (lines: readonly LogLine[]): ReadonlySet<unknown> =>
  new Set(
    lines
      .filter(({ refusal, digest }) => refusal === 'quarantined' && digest !== undefined)
      .map(({ digest }) => digest),
  );

const isQuarantineLine = ({ message }: LogLine): boolean => message.startsWith('quarantine.');

const collectStateLines = (lines: readonly LogLine[], last: LogLine): readonly LogLine[] => {
  const latest = new Map<string, LogLine>();
  lines
    .filter(({ instance, message }) => instance === last.instance && STATE_MESSAGES.has(message))
    .filter((line) => {
      const ageMilliseconds = toTimestampMilliseconds(last) - toTimestampMilliseconds(line);
      return ageMilliseconds >= 0 && ageMilliseconds <= MAXIMUM_STATE_AGE_MILLISECONDS;
    })
    .forEach((line) => latest.set(line.message, line));
  return [...latest.values()].sort(compareByTime);
};

/** Collects the log lines and causes of a request, or of all requests of a program. */
export const explainRequest = (logLines: readonly LogLine[], id: string): Explanation => {
  const sorted = [...logLines].sort(compareByTime);
  const digests = collectQuarantinedDigests(sorted.filter((line) => mentionsId(line, id)));
  const lines = sorted.filter(
    (line) => mentionsId(line, id) || (isQuarantineLine(line) && digests.has(line.digest)),
  );
  const last = lines.filter((line) => mentionsId(line, id)).at(-1);
  const causes = lines
    .filter((line) => mentionsId(line, id))
    .flatMap((line) => describeCause(line) ?? []);
  return {
    id,
    lines,
    beliefs: last ? collectStateLines(sorted, last) : [],
    cause: causes.length === 0 ? undefined : [...new Set(causes.slice(-2))].join('; '),
  };
};
